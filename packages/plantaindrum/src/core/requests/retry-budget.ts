import type { RetryBudget } from './types.js';

/** Share of requests that may be retried, and the retries that are always there. */
export interface RetryBudgetOptions {
  share: number;
  reserve: number;
}

/** A tenth, as retry budgets commonly have it, and enough for a quiet entry. */
export const defaultRetryBudget: RetryBudgetOptions = { share: 0.1, reserve: 20 };

/**
 * Each request earns a share of a retry, kept up to the reserve. When most requests fail, retries
 * are then a tenth of the load at most, so that they can't keep an overload going.
 */
export const createRetryBudget = ({ share, reserve }: RetryBudgetOptions): RetryBudget => {
  let credit = reserve;
  return {
    onRequest: () => {
      credit = Math.min(reserve, credit + share);
    },
    take: () => {
      if (credit < 1) return false;
      credit -= 1;
      return true;
    },
  };
};
