import type { Clock } from '@plantaindrum/common';
import type { EjectionReason, HealthChange, UpstreamHealth } from './types.js';

/** Health of one upstream as one entry sees it. */
export interface Health {
  state(): UpstreamHealth;
  isSilent(): boolean;
  /** Fraction of its normal traffic that the upstream may receive, 0 to 1. */
  trafficShare(): number;
  eject(reason: EjectionReason): HealthChange;
  /** Sets whether the link is lost or heartbeats are missing. */
  setSilent(silent: boolean): void;
  /** Applies transitions that are due by time: from ejected to returning, then to serving. */
  advance(): HealthChange | undefined;
}

/** Duration of the first ejection, in milliseconds; doubles with each consecutive ejection. */
const MIN_EJECTION_MS = 5_000;
const MAX_EJECTION_MS = 60_000;
/** Time in which the traffic share of a returning upstream grows to 1, in milliseconds. */
const RAMP_UP_MS = 10_000;
/** Traffic share at the start of that time. */
const INITIAL_SHARE = 0.05;

/** Creates the health of one upstream, in the state `serving`. */
export const createHealth = (upstream: string, clock: Clock): Health => {
  let state: UpstreamHealth = 'serving';
  let changedAt = clock.monotonic();
  let ejections = 0;
  let silent = false;

  const moveTo = (to: UpstreamHealth, reason: HealthChange['reason']): HealthChange => {
    const from = state;
    state = to;
    changedAt = clock.monotonic();
    return { upstream, from, to, reason };
  };

  const ejectionMs = () => Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** (ejections - 1));

  const eject = (reason: EjectionReason) => {
    ejections += 1;
    return moveTo('ejected', reason);
  };

  return {
    state: () => state,
    isSilent: () => silent,
    trafficShare: () => {
      if (state === 'serving') return 1;
      if (state === 'ejected') return 0;
      // The full share at once would be a burst for an upstream with cold caches: it would become
      // slow and be ejected again and again.
      const progress = (clock.monotonic() - changedAt) / RAMP_UP_MS;
      return Math.min(1, INITIAL_SHARE + (1 - INITIAL_SHARE) * progress);
    },
    eject,
    setSilent: (isSilentNow) => {
      if (silent && !isSilentNow && state !== 'ejected') moveTo('returning', 'recovered');
      silent = isSilentNow;
    },
    advance: () => {
      const ageMs = clock.monotonic() - changedAt;
      if (state === 'ejected' && ageMs >= ejectionMs()) return moveTo('returning', 'pause-over');
      if (state !== 'returning' || ageMs < RAMP_UP_MS) return undefined;
      ejections = 0;
      return moveTo('serving', 'recovered');
    },
  };
};
