/** How long passes of a group take at present, from the passes that reports show. */

import type { Clock } from '@plantaindrum/common';

/** The time of a pass. */
export interface PassTimes {
  /** A report that has come shows this pass as begun. */
  note(epoch: number, step: number): void;
  /** Mean time of the last passes, in ms; undefined before two were seen. */
  passMs(): number | undefined;
  /** Milliseconds since a new pass was seen. */
  sinceLast(): number;
}

interface Seen {
  step: number;
  at: number;
}

/** Passes of this time make the mean, in ms: some four usual ones, or the first two after a shift of popularity. */
const WINDOW_MS = 250;

/** Creates the record; it begins anew with each epoch. */
export const createPassTimes = (clock: Clock): PassTimes => {
  let currentEpoch = -1;
  let seen: Seen[] = [];

  return {
    note: (epoch, step) => {
      const now = clock.monotonic();
      const last = seen.at(-1);
      if (epoch === currentEpoch && last && step <= last.step) return;
      if (epoch !== currentEpoch) seen = [];
      currentEpoch = epoch;
      // The one before the window's begin is kept, or a single long pass would leave nothing to tell its time by.
      const firstInside = seen.findIndex(({ at }) => at >= now - WINDOW_MS);
      const from = firstInside < 0 ? seen.length - 1 : firstInside - 1;
      seen = [...seen.slice(Math.max(0, from)), { step, at: now }];
    },
    passMs: () => {
      const [first] = seen;
      const last = seen.at(-1);
      if (!first || !last || first === last) return undefined;
      return (last.at - first.at) / (last.step - first.step);
    },
    sinceLast: () => clock.monotonic() - (seen.at(-1)?.at ?? -Infinity),
  };
};
