import type { Clock } from '@plantaindrum/common';

/** A token-bucket rate limiter. */
export interface TokenBucket {
  /**
   * Takes `amount` tokens and returns 0, or takes none and returns the milliseconds until they are
   * available. An amount above `burst` needs a full bucket and leaves a negative level.
   */
  take(amount: number): number;
}

/** Creates a full bucket that refills at `perSecond` and holds at most `burst` tokens. */
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
