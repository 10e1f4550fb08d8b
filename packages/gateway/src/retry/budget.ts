import type { Clock } from '@plantaindrum/common';

/** This entry's share of the retries that all entries together may send to one service. */
export interface RetryBudget {
  /** A caller's request for a service came. */
  noteRequest(service: string): void;
  /** Takes one further attempt from the budget; false when none is left. */
  take(service: string): boolean;
}

/** What the operators allow over all entries. */
export interface RetryLimits {
  /** Further attempts for each request, over the window. */
  ratio: number;
  windowMs: number;
  /** Further attempts in a window whatever the traffic. */
  allowance: number;
}

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
  /** Asked each time: the operators may change them while the entry runs. */
  limits: () => RetryLimits;
  /** Entries that share the allowance. */
  entries: () => number;
  clock: Clock;
}

interface Spent {
  requests: number[];
  attempts: number[];
}

/**
 * Part of the allowed figures that is used. An entry that was killed forgets what it spent, and
 * entries count each other with a delay; what is left free pays for both.
 */
const USED_SHARE = 0.7;

const dropBefore = (times: number[], oldest: number): void => {
  const keep = times.findIndex((at) => at >= oldest);
  times.splice(0, keep === -1 ? times.length : keep);
};

/** Creates the budget; it needs no message, as each entry keeps to its share. */
export const createRetryBudget = (options: RetryBudgetOptions): RetryBudget => {
  const { limits, entries, clock } = options;
  const services = new Map<string, Spent>();

  const spentOn = (service: string): Spent => {
    const spent = services.get(service) ?? { requests: [], attempts: [] };
    services.set(service, spent);
    const oldest = clock.monotonic() - limits().windowMs;
    dropBefore(spent.requests, oldest);
    dropBefore(spent.attempts, oldest);
    return spent;
  };

  return {
    noteRequest: (service) => {
      spentOn(service).requests.push(clock.monotonic());
    },
    take: (service) => {
      const { requests, attempts } = spentOn(service);
      const { ratio, allowance } = limits();
      const most = USED_SHARE * (ratio * requests.length + allowance / Math.max(1, entries()));
      if (attempts.length + 1 > most) return false;
      attempts.push(clock.monotonic());
      return true;
    },
  };
};
