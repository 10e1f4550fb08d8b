/** Tracks the slowdown that an upstream's agent reports, and when a recovered upstream is trusted again. */

import type { Clock } from '@plantaindrum/common';

/** The slowdown of one upstream. */
export interface SlowdownTracker {
  /** Records a report of the upstream's agent; 1 is normal speed. */
  record(slowdown: number): void;
  /** Time of its work relative to the baseline; the last slow value until a recovered upstream is trusted again. */
  slowdown(): number;
}

/** A slowdown up to this counts as normal: engines differ by a few hundredths. */
const MAX_BASELINE_SLOWDOWN = 1.1;
/**
 * How long a report of a slowdown is valid without a newer one, in ms. An agent that was killed runs again within two
 * seconds; if its report expired before, its engine would get streams that delay all others.
 */
const SLOW_REPORT_VALID_MS = 2_500;
/**
 * Delay from the first report of normal speed until an upstream is used again, in ms, doubled each time that it becomes
 * slow again soon. A group of twelve that does without one rank loses a twelfth of its slots; a rank that keeps
 * changing its speed delays every stream each time.
 */
const TRUST_DELAY_MS = 500;
/** Limit of the doubled delay, in ms. */
const MAX_TRUST_DELAY_MS = 4_000;
/** After this long at normal speed an upstream starts with the shortest delay again, in ms. */
const TRUST_RESET_MS = 10_000;

/** Creates the tracker of an upstream without any reports. */
export const createSlowdownTracker = (clock: Clock): SlowdownTracker => {
  let slow: { slowdown: number; at: number } | undefined;
  let recoveredSince: number | undefined;
  let trustDelayMs = TRUST_DELAY_MS;

  const recordSlow = (slowdown: number, now: number): void => {
    const recoveredForMs = recoveredSince === undefined ? 0 : now - recoveredSince;
    if (recoveredForMs > TRUST_RESET_MS) trustDelayMs = TRUST_DELAY_MS;
    else if (recoveredForMs > 0) trustDelayMs = Math.min(MAX_TRUST_DELAY_MS, trustDelayMs * 2);
    recoveredSince = undefined;
    slow = { slowdown, at: now };
  };

  return {
    record: (slowdown) => {
      const now = clock.monotonic();
      if (slowdown > MAX_BASELINE_SLOWDOWN) recordSlow(slowdown, now);
      else if (slow) recoveredSince ??= now;
    },
    slowdown: () => {
      if (!slow) return 1;
      const now = clock.monotonic();
      const until =
        recoveredSince === undefined
          ? slow.at + SLOW_REPORT_VALID_MS
          : recoveredSince + trustDelayMs;
      return now < until ? slow.slowdown : 1;
    },
  };
};
