/** Current pass time of a group, derived from the pass numbers in its reports. */

import type { Clock } from '@plantaindrum/common';

/** Timing of a group's passes. */
export interface PassTimes {
  /** Records that a report received now shows this pass as begun. */
  record(epoch: number, step: number): void;
  /** Mean time of recent passes, in ms; undefined before two were seen. */
  passMs(): number | undefined;
  /** Time since a new pass was first seen, in ms. */
  msSinceLast(): number;
}

interface PassStart {
  step: number;
  at: number;
}

/**
 * Period over which pass times are averaged, in ms: about four typical passes, or the first two
 * after a shift of popularity.
 */
const WINDOW_MS = 250;

/** Creates the record, which is reset at each new epoch. */
export const createPassTimes = (clock: Clock): PassTimes => {
  let currentEpoch = -1;
  let starts: PassStart[] = [];

  return {
    record: (epoch, step) => {
      const now = clock.monotonic();
      const last = starts.at(-1);
      if (epoch === currentEpoch && last && step <= last.step) return;
      if (epoch !== currentEpoch) starts = [];
      currentEpoch = epoch;
      // The last start before the window is kept; otherwise a single long pass would leave no time
      // to measure.
      const firstInside = starts.findIndex(({ at }) => at >= now - WINDOW_MS);
      const from = firstInside < 0 ? starts.length - 1 : firstInside - 1;
      starts = [...starts.slice(Math.max(0, from)), { step, at: now }];
    },
    passMs: () => {
      const [first] = starts;
      const last = starts.at(-1);
      if (!first || !last || first === last) return undefined;
      return (last.at - first.at) / (last.step - first.step);
    },
    msSinceLast: () => clock.monotonic() - (starts.at(-1)?.at ?? -Infinity),
  };
};
