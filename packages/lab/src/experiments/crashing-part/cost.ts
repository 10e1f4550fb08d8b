/** What the evidence about parts of prompts costs an entry. */

import {
  createManualClock,
  createMetrics,
  createSeededRandom,
  silentEventLog,
} from '@plantaindrum/common';
import type { ManualClock } from '@plantaindrum/common';
import { createQuarantine } from '@plantaindrum/gateway';
import type { QuarantineUpdate, RequestQuarantine } from '@plantaindrum/gateway';
import { encodeFrame } from '@plantaindrum/link';
import { bytesInUse, microsPerCall } from '../slopes/measure.js';

/** Costs of one entry. */
export interface EvidenceCost {
  /** Bytes of a note about a crash to one peer, by the number of this entry's requests in flight there. */
  noteBytesOne: number;
  noteBytesFive: number;
  /** Bytes that an entry sends to all peers for a crash with one of its requests in flight, at two sizes. */
  bytesAtFourEntries: number;
  bytesAt430Entries: number;
  /** Memory of the most evidence that is kept, in bytes. */
  memoryBytes: number;
  /** Time of the quarantine in a request without a prompt, with one, and with one and the most evidence, in microseconds. */
  requestMicrosWithoutPrompt: number;
  requestMicros: number;
  requestMicrosWithEvidence: number;
}

const PARTS = 4;
const MAX_CRASHES = 512;
const MAX_SUCCESSES = 4_096;
const REQUESTS = 20_000;
const ID_DIGITS = 8;
const FINGERPRINT_DIGITS = 32;
const LARGE_FLEET = 430;
const SMALL_FLEET = 4;

const id = (n: number, digits: number): string => n.toString(16).padStart(digits, '0');
const partsOf = (n: number): string[] =>
  Array.from({ length: PARTS }, (_, at) => id(n * PARTS + at, ID_DIGITS));

const create = (clock: ManualClock, updates: QuarantineUpdate[]): RequestQuarantine =>
  createQuarantine({
    node: 'entry',
    broadcast: (update) => updates.push(update),
    publish: async () => true,
    clock,
    metrics: createMetrics(),
    log: silentEventLog,
  });

const noteBytes = async (requests: number): Promise<number> => {
  const clock = createManualClock(1_000_000);
  const updates: QuarantineUpdate[] = [];
  const quarantine = create(clock, updates);
  const upstream = { instance: 'i-0123456789', startedAt: 0 };
  for (let n = 0; n < requests; n += 1) {
    quarantine.begin(id(n, FINGERPRINT_DIGITS), upstream, partsOf(n));
  }
  await clock.advance(100);
  quarantine.handleEnd(upstream, 'refused-connection');
  await clock.advance(100);
  const frames = updates.map((args) => encodeFrame({ t: 'note', method: 'request.crashes', args }));
  return frames.reduce((sum, frame) => sum + frame.length, 0);
};

const fill = (quarantine: RequestQuarantine, clock: ManualClock): void => {
  for (let n = 0; n < MAX_SUCCESSES / PARTS; n += 1) {
    const upstream = { instance: 'sound', startedAt: 0 };
    const attempt = quarantine.begin(id(n, FINGERPRINT_DIGITS), upstream, partsOf(n));
    attempt.complete(200);
    attempt.end();
  }
  const at = clock.monotonic();
  for (let n = 0; n < MAX_CRASHES; n += 1) {
    quarantine.handlePeerUpdate('peer', {
      ...{ crashes: [], quarantined: [], sound: [], tried: [], soundParts: [] },
      partCrashes: [
        {
          ...{ fingerprint: id(n, FINGERPRINT_DIGITS), instance: `i-${n}`, reporter: 'peer' },
          sharedParts: ['bad0', ...partsOf(MAX_SUCCESSES + n).slice(1)],
          ...{ sentAgoMs: at - n * 100, endedAgoMs: at - n * 100 - 50 },
        },
      ],
    });
  }
};

const requestMicros = (quarantine: RequestQuarantine, hasParts = true): number => {
  const random = createSeededRandom(1);
  const upstream = { instance: 'sound', startedAt: 0 };
  return microsPerCall(REQUESTS, (n) => {
    const parts = hasParts ? partsOf(Math.floor(random() * (MAX_SUCCESSES / PARTS))) : [];
    const fingerprint = id(n, FINGERPRINT_DIGITS);
    quarantine.refusal(fingerprint, parts);
    const attempt = quarantine.begin(fingerprint, upstream, parts);
    attempt.complete(200);
    attempt.end();
  });
};

/** Measures the costs in this process. */
export const measureCost = async (): Promise<EvidenceCost> => {
  const clock = createManualClock(100_000);
  const withoutPrompt = requestMicros(create(clock, []), false);
  const withPrompt = requestMicros(create(clock, []));
  const before = await bytesInUse();
  const full = create(clock, []);
  fill(full, clock);
  const memoryBytes = (await bytesInUse()) - before;
  const one = await noteBytes(1);
  return {
    noteBytesOne: one,
    noteBytesFive: await noteBytes(5),
    bytesAtFourEntries: one * (SMALL_FLEET - 1),
    bytesAt430Entries: one * (LARGE_FLEET - 1),
    memoryBytes,
    requestMicrosWithoutPrompt: withoutPrompt,
    requestMicros: withPrompt,
    requestMicrosWithEvidence: requestMicros(full),
  };
};
