import type { Clock } from '@plantaindrum/common';

/** A rate limit: takes succeed until the bucket is empty. */
export interface TokenBucket {
  /** Takes `amount`; 0 when taken, else the milliseconds until it can be. */
  take(amount: number): number;
}

/** Creates a bucket that refills at `perSecond` and holds at most `burst`. */
export const createTokenBucket = (clock: Clock, perSecond: number, burst: number): TokenBucket => {
  let level = burst;
  let filledAt = clock.monotonic();
  return {
    take: (amount) => {
      const now = clock.monotonic();
      level = Math.min(burst, level + ((now - filledAt) * perSecond) / 1000);
      filledAt = now;
      const needed = Math.min(amount, burst);
      if (level < needed) return Math.ceil(((needed - level) * 1000) / perSecond);
      level -= amount;
      return 0;
    },
  };
};
