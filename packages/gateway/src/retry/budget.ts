/** Limits the retries of each entry, so that all entries together stay within the operators' limits. */

import type { Clock } from '@plantaindrum/common';

/** This entry's share of the retries that all entries together may send to one service. */
export interface RetryBudget {
  /** Records a request from a caller. */
  recordRequest(service: string): void;
  /** Takes one retry from the budget; false when it is exhausted. */
  take(service: string): boolean;
  /** What the next decision on a retry depends on. */
  usage(service: string): RetryUsage;
}

/** State of the budget of one service, for the log. */
export interface RetryUsage {
  /** Retries in the current window, and how many are allowed in it. */
  taken: number;
  maxRetries: number;
  /** Number of entries that share the allowance. */
  entries: number;
  /** Milliseconds since this process started. */
  ageMs: number;
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
  /** When this process started (monotonic, ms). Retries that an earlier one sent before are unknown. */
  startedAt: number;
  clock: Clock;
}

interface ServiceUsage {
  requests: number[];
  attempts: number[];
}

/** Fraction of the limits that an entry uses once it has run for a window. */
const USED_FRACTION = 0.7;
/**
 * Fraction of the limits that a process uses in its first window. An earlier process of this entry may have used its
 * full share just before it was killed, so the two fractions add up to the limits.
 */
const START_FRACTION = 1 - USED_FRACTION;

const dropBefore = (times: number[], oldest: number): void => {
  const firstKept = times.findIndex((at) => at >= oldest);
  times.splice(0, firstKept === -1 ? times.length : firstKept);
};

/** Creates the budget. It needs no messages between entries, as each keeps to its own share. */
export const createRetryBudget = (options: RetryBudgetOptions): RetryBudget => {
  const { limits, entries, startedAt, clock } = options;
  const services = new Map<string, ServiceUsage>();

  const usageOf = (service: string): ServiceUsage => {
    const usage = services.get(service) ?? { requests: [], attempts: [] };
    services.set(service, usage);
    const oldest = clock.monotonic() - limits().windowMs;
    dropBefore(usage.requests, oldest);
    dropBefore(usage.attempts, oldest);
    return usage;
  };

  const ageMs = (): number => clock.monotonic() - startedAt;

  const maxRetries = ({ requests }: ServiceUsage): number => {
    const { ratio, allowance, windowMs } = limits();
    const share = allowance / Math.max(1, entries());
    const age = ageMs();
    if (age >= windowMs) return USED_FRACTION * (ratio * requests.length + share);
    // The allowance accrues with the age: any number of processes that start one after the other within a window use no
    // more of it together.
    return START_FRACTION * (ratio * requests.length + (share * age) / windowMs);
  };

  return {
    recordRequest: (service) => {
      usageOf(service).requests.push(clock.monotonic());
    },
    take: (service) => {
      const recent = usageOf(service);
      if (recent.attempts.length + 1 > maxRetries(recent)) return false;
      recent.attempts.push(clock.monotonic());
      return true;
    },
    usage: (service) => {
      const recent = usageOf(service);
      return {
        taken: recent.attempts.length,
        maxRetries: Math.floor(maxRetries(recent)),
        entries: entries(),
        ageMs: Math.round(ageMs()),
      };
    },
  };
};
