import type { Clock } from '@plantaindrum/common';
import type { FailedAttempt, NoRetryReason, RetryDecision, RetryPolicy } from './types.js';

/** Settings of a retry policy. */
export interface RetryPolicyOptions {
  clock: Clock;
  /** Retries that each first dispatch earns. */
  budgetShare?: number;
  /** Most retries saved up. */
  burst?: number;
  /** Retries earned a second without any traffic, so that a quiet site can retry too. */
  minPerSecond?: number;
  /** Most dispatches of one request. */
  maxAttempts?: number;
  /** Least time that must be left for a retry to make sense, in milliseconds. */
  minRemainingMs?: number;
}

/** Another upstream would answer the same, or the caller has gone. */
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
 * Creates the retry policy of one entry. The budget keeps retries to a share of the requests: with
 * all upstreams failing, retries without a budget multiply the load by the number of attempts, and
 * the overload outlives its cause.
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

  /** Why no retry is allowed, whatever the budget holds. */
  const obstacle = (failed: FailedAttempt): NoRetryReason | undefined => {
    if (failed.outcome === 'unknown' && failed.mayNotRepeat) return 'may-not-repeat';
    if (FINAL_REASONS.has(failed.reason)) return 'final-reason';
    if (failed.answerBegun && failed.resumeAfter === undefined) return 'answer-begun';
    if (failed.attempts >= maxAttempts) return 'attempts-spent';
    if (failed.deadline - clock.monotonic() < minRemainingMs) return 'deadline-near';
    return undefined;
  };

  /** What a leaving upstream gives back is planned and comes once: it must not drain the budget. */
  const isFree = (failed: FailedAttempt) =>
    failed.reason === 'leaving' && failed.outcome === 'not-run';

  const spend = (): boolean => {
    refill();
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };

  return {
    requested: () => {
      refill();
      tokens = Math.min(burst, tokens + budgetShare);
    },
    decide: (failed): RetryDecision => {
      const reason = obstacle(failed);
      if (reason) return { retry: false, reason };
      if (!isFree(failed) && !spend()) return { retry: false, reason: 'budget-spent' };
      return failed.resumeAfter === undefined
        ? { retry: true }
        : { retry: true, resumeAfter: failed.resumeAfter };
    },
  };
};
