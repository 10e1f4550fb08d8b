/** Limits the retries of each entry, so that all entries together stay within the operators' limits. */

import type { Clock } from '@plantaindrum/common';

/** This entry's share of the retries that all entries together may send to one service. */
export interface RetryBudget {
  /** Records a request from a caller. */
  recordRequest(service: string): void;
  /** Takes one retry from the budget; false when it is exhausted. */
  take(service: string): boolean;
}

/** Retry limits of the operators, for all entries together. */
export interface RetryLimits {
  /** Retries for each request, over the window. */
  ratio: number;
  windowMs: number;
  /** Retries in a window that are allowed in addition, independent of the traffic. */
  allowance: number;
}

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
  /** Read on each use: operators may change the limits while the entry runs. */
  limits: () => RetryLimits;
  /** Number of entries that share the allowance. */
  entries: () => number;
  clock: Clock;
}

interface ServiceUsage {
  requests: number[];
  attempts: number[];
}

/**
 * Fraction of the limits that is used. A killed entry forgets the retries it has sent, and entries see changes of
 * their number with a delay; the unused part makes up for both.
 */
const USED_FRACTION = 0.7;

const dropBefore = (times: number[], oldest: number): void => {
  const firstKept = times.findIndex((at) => at >= oldest);
  times.splice(0, firstKept === -1 ? times.length : firstKept);
};

/** Creates the budget. It needs no messages between entries, as each keeps to its own share. */
export const createRetryBudget = (options: RetryBudgetOptions): RetryBudget => {
  const { limits, entries, clock } = options;
  const services = new Map<string, ServiceUsage>();

  const usageOf = (service: string): ServiceUsage => {
    const usage = services.get(service) ?? { requests: [], attempts: [] };
    services.set(service, usage);
    const oldest = clock.monotonic() - limits().windowMs;
    dropBefore(usage.requests, oldest);
    dropBefore(usage.attempts, oldest);
    return usage;
  };

  return {
    recordRequest: (service) => {
      usageOf(service).requests.push(clock.monotonic());
    },
    take: (service) => {
      const { requests, attempts } = usageOf(service);
      const { ratio, allowance } = limits();
      const maxAttempts =
        USED_FRACTION * (ratio * requests.length + allowance / Math.max(1, entries()));
      if (attempts.length + 1 > maxAttempts) return false;
      attempts.push(clock.monotonic());
      return true;
    },
  };
};
