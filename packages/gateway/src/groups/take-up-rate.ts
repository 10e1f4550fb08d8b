/** The rate at which a rank group that has just opened is given new streams. */

import type { Clock } from '@plantaindrum/common';
import type { RankGroup } from './group-directory.js';

/** Allowance of new streams that accrues with time. */
export interface StreamAllowance {
  /** Accrues at this rate, in streams per ms, since the last call; returns the whole streams that may be sent. */
  accrue(rate: number): number;
  take(count: number): void;
}

/** Time after its opening for which a group is given new streams by its rate, in ms: its expert map is poor until then. */
const TAKE_UP_MS = 2_000;
/** Expected duration of a pass of a group that has just opened, in ms. */
const FIRST_PASS_MS = 150;
/** Bounds of the observed pass duration in the rate, in ms. */
const PASS_BOUNDS_MS = { min: 60, max: 300 };

/** Whether a group has been open for so long that it takes all streams that it has slots for. */
export const isSteady = ({ state }: RankGroup, clock: Clock): boolean =>
  clock.monotonic() - state.since() >= TAKE_UP_MS;

/**
 * New streams per ms that one of this many entries may send to these groups: one for each rank in each pass, so that no
 * pass reads several prompts at a rank.
 */
export const takeUpRate = (groups: readonly RankGroup[], entries: number): number => {
  const total = groups.reduce((sum, { timings, size }) => {
    const passMs = timings.pauseQuantile(0.5) ?? FIRST_PASS_MS;
    const { min, max } = PASS_BOUNDS_MS;
    return sum + size() / Math.min(max, Math.max(min, passMs));
  }, 0);
  return total / Math.max(1, entries);
};

/** Creates an empty allowance. */
export const createStreamAllowance = (clock: Clock): StreamAllowance => {
  let streams = 0;
  let accruedAt = clock.monotonic();
  return {
    accrue: (rate) => {
      const now = clock.monotonic();
      // An unused share is lost: saved up, it would let in several prompts a rank at once.
      const max = Math.max(1, rate * FIRST_PASS_MS);
      streams = Math.min(max, streams + rate * (now - accruedAt));
      accruedAt = now;
      return Math.max(0, Math.floor(streams));
    },
    take: (count) => {
      streams -= count;
    },
  };
};
