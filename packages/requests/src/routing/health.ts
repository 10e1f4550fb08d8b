import type { Clock } from '@plantaindrum/common';
import type { EjectionReason, HealthChange, UpstreamHealth } from './types.js';

/** Health of one upstream in the eyes of one entry. */
export interface Health {
  state(): UpstreamHealth;
  isSilent(): boolean;
  /** Share of its usual traffic that it may get, 0 to 1. */
  share(): number;
  eject(reason: EjectionReason): HealthChange;
  setSilent(silent: boolean): void;
  /** Moves on by time: ejected to returning to serving. */
  advance(): HealthChange | undefined;
}

/** First pause of an ejected upstream; doubles with each ejection in a row, in milliseconds. */
const FIRST_PAUSE_MS = 5_000;
const LONGEST_PAUSE_MS = 60_000;
/** Time from the first request after a pause to the full share, in milliseconds. */
const RETURN_MS = 10_000;
/** Share of traffic at the beginning of the return. */
const FIRST_SHARE = 0.05;

/** Creates the health of one upstream; it begins in full service. */
export const createHealth = (upstream: string, clock: Clock): Health => {
  let state: UpstreamHealth = 'serving';
  let since = clock.monotonic();
  let ejections = 0;
  let silent = false;

  const move = (to: UpstreamHealth, reason: HealthChange['reason']): HealthChange => {
    const from = state;
    state = to;
    since = clock.monotonic();
    return { upstream, from, to, reason };
  };

  const pauseMs = () => Math.min(LONGEST_PAUSE_MS, FIRST_PAUSE_MS * 2 ** (ejections - 1));

  const eject = (reason: EjectionReason) => {
    ejections += 1;
    return move('ejected', reason);
  };

  return {
    state: () => state,
    isSilent: () => silent,
    share: () => {
      if (state === 'serving') return 1;
      if (state === 'ejected') return 0;
      // A full share at once would send a burst to an upstream with cold caches, which makes it
      // slow again and has it ejected for good.
      const progress = (clock.monotonic() - since) / RETURN_MS;
      return Math.min(1, FIRST_SHARE + (1 - FIRST_SHARE) * progress);
    },
    eject,
    setSilent: (now) => {
      if (silent && !now && state !== 'ejected') move('returning', 'recovered');
      silent = now;
    },
    advance: () => {
      const age = clock.monotonic() - since;
      if (state === 'ejected' && age >= pauseMs()) return move('returning', 'pause-over');
      if (state !== 'returning' || age < RETURN_MS) return undefined;
      ejections = 0;
      return move('serving', 'recovered');
    },
  };
};
