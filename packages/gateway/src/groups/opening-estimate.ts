/** Estimates when a closed group opens, from how long earlier closures lasted. */

import type { Clock } from '@plantaindrum/common';
import type { RankGroup } from './group-directory.js';

/** Estimate of the next opening of one of several groups. */
export interface OpeningEstimate {
  /** Records that a group has opened after this time, in ms. */
  recordOpened(closedMs: number): void;
  /** Expected time until the first of the groups opens, in ms. */
  remainingMs(groups: readonly RankGroup[]): number;
  /** Whether all of the groups have been closed for so long that none is expected to open. */
  isLost(groups: readonly RankGroup[]): boolean;
}

/**
 * Expected duration of a closure before one was seen, in ms: a rank's restart and the forming of the group. After a loss
 * of all power groups opened 1.1 to 1.3 s after the first entry had started.
 */
const FIRST_ESTIMATE_MS = 1_200;
/** Shortest expected duration, in ms: the group forms for 600 ms after its last rank is back. */
const MIN_CLOSED_MS = 600;
/** Closures that last longer are not counted: ranks were gone, and no estimate follows from it. */
const MAX_CLOSED_MS = 6_000;
/** Weight of one closure in the moving average. */
const WEIGHT = 0.5;
/** Expected remaining time, in ms, of a closure that has lasted longer than expected, and of one of unknown age. */
const OVERDUE_MS = 600;
/** Closures of this duration are taken as lasting, in ms: no caller waits longer for a response. */
const LOST_AFTER_MS = 8_000;

/** Creates an estimate without any observation. */
export const createOpeningEstimate = (clock: Clock): OpeningEstimate => {
  let expectedMs = FIRST_ESTIMATE_MS;

  const remainingOf = ({ state }: RankGroup): number => {
    const remaining = state.since() + expectedMs - clock.monotonic();
    return Math.max(OVERDUE_MS, remaining);
  };

  return {
    recordOpened: (closedMs) => {
      if (closedMs < MIN_CLOSED_MS || closedMs > MAX_CLOSED_MS) return;
      expectedMs += (closedMs - expectedMs) * WEIGHT;
    },
    remainingMs: (groups) => Math.min(...groups.map(remainingOf)),
    isLost: (groups) =>
      groups.every(
        ({ state }) =>
          state.condition() === 'closed' && clock.monotonic() - state.since() > LOST_AFTER_MS,
      ),
  };
};
