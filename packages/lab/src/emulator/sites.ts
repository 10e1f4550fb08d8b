/** Days that model the users' groups, with figures from their specifications. */

import type { DaySpec } from './day-types.js';
import { adaptiveLimit } from './policies.js';

const MS = 1_000;
const BITS_PER_BYTE = 8;
const COPY_MBIT_PER_S = 180_000;

const expertCopyMs = (expertMb: number): number =>
  (expertMb * BITS_PER_BYTE * MS) / COPY_MBIT_PER_S;

/** A group of 16 ranks under the traffic of a typical day. */
export const smallGroupDay: Omit<DaySpec, 'seed'> = {
  lengthMs: 24_000,
  ranks: 16,
  places: 5,
  spare: 2,
  copyMs: expertCopyMs(2_500),
  content: { sets: 4, experts: 64, topics: 9, skew: 1.1, common: 0.75 },
  times: {
    slots: 8,
    stepMs: 4.84,
    // As the engines declare it in the intent; the specification's value is for the original, denser traffic.
    perSeqMs: 0.543,
    contextMsPerK: 0.0165,
    prefillTokensPerMs: 74.8,
    chunk: 512,
    stride: 6,
    expertShare: 0.85,
    picksPerToken: 40,
    copyFactor: 1.15,
  },
  perSecond: 53,
  promptTokens: 800,
  events: 26,
  shiftEveryMs: 3_700,
  // Moves 22% of the expert selections to other experts, by the counts of an emulated day.
  shiftShare: 0.45,
  weighs: 'skew',
  policy: adaptiveLimit,
};

/** A group of 12 ranks with more experts and slots, under the traffic of a busy day. */
export const denseGroupDay: Omit<DaySpec, 'seed'> = {
  ...smallGroupDay,
  ranks: 12,
  places: 8,
  spare: 3,
  copyMs: expertCopyMs(2_200),
  content: { sets: 4, experts: 72, topics: 9, skew: 1.3, common: 0.75 },
  perSecond: 40,
  shiftEveryMs: 4_000,
  shiftShare: 0.67,
};

/** A group of 72 ranks with more and smaller experts. */
export const largeGroupDay: Omit<DaySpec, 'seed'> = {
  ...smallGroupDay,
  ranks: 72,
  places: 3,
  copyMs: expertCopyMs(370),
  content: { sets: 12, experts: 144, topics: 9, skew: 0.54, common: 0.75 },
  times: { ...smallGroupDay.times, slots: 7, perSeqMs: 0.435, stride: 7, picksPerToken: 48 },
  perSecond: 209,
  events: 23,
  shiftEveryMs: 2_500,
};
