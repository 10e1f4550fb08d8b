/** How slow one upstream is, as its agent tells it, and when it is trusted again. */

import type { Clock } from '@plantaindrum/common';

/** The pace of one upstream. */
export interface PaceRecord {
  /** The agent beside the upstream tells its pace; 1 is usual. */
  note(pace: number): void;
  /** Time of its work over the usual; that of its slow time until it is trusted again. */
  pace(): number;
}

/** A pace up to this is taken for the usual one: engines differ by some hundredths. */
const USUAL = 1.1;
/**
 * Without word from the agent a slow pace is believed for this long, in ms: an agent that was killed
 * is back within two seconds, and until then its engine would get streams that hold up all others.
 */
const BELIEVED_MS = 2_500;
/**
 * Pause from the first sound word until an upstream is used again, in ms, doubled each time that it
 * turns slow again soon. One rank of a group less costs a twelfth of its places; one that flaps makes
 * every stream late each time.
 */
const PAUSE_MS = 500;
const PAUSE_MAX_MS = 4_000;
/** An upstream that has been sound for this long begins with the shortest pause again, in ms. */
const FORGOTTEN_MS = 10_000;

/** Creates the record of an upstream of which nothing is known. */
export const createPaceRecord = (clock: Clock): PaceRecord => {
  let slow: { pace: number; at: number } | undefined;
  let soundSince: number | undefined;
  let pauseMs = PAUSE_MS;

  const noteSlow = (pace: number, now: number): void => {
    const soundFor = soundSince === undefined ? 0 : now - soundSince;
    if (soundFor > FORGOTTEN_MS) pauseMs = PAUSE_MS;
    else if (soundFor > 0) pauseMs = Math.min(PAUSE_MAX_MS, pauseMs * 2);
    soundSince = undefined;
    slow = { pace, at: now };
  };

  return {
    note: (pace) => {
      const now = clock.monotonic();
      if (pace > USUAL) noteSlow(pace, now);
      else if (slow) soundSince ??= now;
    },
    pace: () => {
      if (!slow) return 1;
      const now = clock.monotonic();
      const until = soundSince === undefined ? slow.at + BELIEVED_MS : soundSince + pauseMs;
      return now < until ? slow.pace : 1;
    },
  };
};
