import type { Clock } from '@plantaindrum/common';
import type { FailedAttempt, NoRetryReason, RetryDecision, RetryPolicy } from './types.js';

/** Settings of a retry policy. */
export interface RetryPolicyOptions {
  clock: Clock;
  /** Retries that each first dispatch adds to the budget. */
  budgetShare?: number;
  /** Largest budget, in retries. */
  burst?: number;
  /**
   * Retries added per second regardless of traffic, so that a site with little traffic can retry.
   */
  minPerSecond?: number;
  /** Largest number of dispatches of one request. */
  maxAttempts?: number;
  /** No retry when less time than this is left, in milliseconds. */
  minRemainingMs?: number;
}

/** Reasons without a retry: another upstream would answer the same, or the caller disconnected. */
const FINAL_REASONS: ReadonlySet<FailedAttempt['reason']> = new Set([
  'cancelled',
  'claim-log-down',
  'claim-not-confirmed',
  'claim-lost',
  'claim-key-reused',
  'claim-key-expired',
  'duplicate-in-progress',
  'duplicate-known',
]);

/**
 * Creates the retry policy of one entry. The budget limits retries to a fraction of the requests.
 * Without it, retries multiply the load by the number of attempts when all upstreams fail, and the
 * overload outlasts its cause.
 */
export const createRetryPolicy = (options: RetryPolicyOptions): RetryPolicy => {
  const { clock, budgetShare = 0.1, burst = 10, minPerSecond = 1 } = options;
  const { maxAttempts = 3, minRemainingMs = 20 } = options;
  let tokens = burst;
  let refilledAt = clock.monotonic();

  const refill = () => {
    const now = clock.monotonic();
    tokens = Math.min(burst, tokens + ((now - refilledAt) / 1000) * minPerSecond);
    refilledAt = now;
  };

  /** Reason against a retry that doesn't depend on the budget. */
  const blocker = (failed: FailedAttempt): NoRetryReason | undefined => {
    if (failed.outcome === 'unknown' && failed.mayNotRepeat) return 'may-not-repeat';
    if (FINAL_REASONS.has(failed.reason)) return 'final-reason';
    if (failed.answerBegun && failed.resumeAfter === undefined) return 'answer-begun';
    if (failed.attempts >= maxAttempts) return 'attempts-spent';
    if (failed.deadline - clock.monotonic() < minRemainingMs) return 'deadline-near';
    return undefined;
  };

  /** Work that a leaving upstream returns is expected and comes once, so it isn't charged. */
  const isFree = (failed: FailedAttempt) =>
    failed.reason === 'leaving' && failed.outcome === 'not-run';

  const spendToken = (): boolean => {
    refill();
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };

  return {
    recordRequest: () => {
      refill();
      tokens = Math.min(burst, tokens + budgetShare);
    },
    decide: (failed): RetryDecision => {
      const reason = blocker(failed);
      if (reason) return { retry: false, reason };
      if (!isFree(failed) && !spendToken()) return { retry: false, reason: 'budget-spent' };
      return failed.resumeAfter === undefined
        ? { retry: true }
        : { retry: true, resumeAfter: failed.resumeAfter };
    },
  };
};
