/**
 * Enforces the rate limit that one upstream advertises, which holds for all entries together.
 *
 * An overloaded upstream advertises its limit to one entry. If each entry applied the limit on its own, the upstream
 * would get that many requests from each. Equal parts would be too small for an entry that has most of the callers, and
 * with more entries than requests a second the first requests of all of them would exceed the limit. Entries therefore
 * broadcast each request that they send, and each entry keeps a token bucket for all of them: if several entries send
 * at once, the bucket goes below zero, and all of them wait until it is refilled.
 */

import type { Clock } from '@plantaindrum/common';

/** The limit of one upstream. */
export interface RateLimit {
  /** Requests a second that it accepts from all entries together; undefined if it advertises no limit. */
  perSecond(): number | undefined;
  /** Sets the advertised limit; returns whether it has changed. */
  set(perSecond: number): boolean;
  /**
   * Clears the limit, as the response to a request sent at this time (monotonic, ms) has none; returns whether one was
   * set.
   */
  clear(sentAt: number): boolean;
  /** Takes tokens for requests that were sent, by this entry or another one. */
  spend(requests: number): void;
  /** Milliseconds until the next request may be sent, 0 if it may be now. */
  waitMs(): number;
}

/** Capacity of the token bucket, in seconds of the limit. */
const BURST_SECONDS = 0.25;
/** Minimum rate, in requests a second, whatever the limit: only a response can clear it. */
const MIN_REQUESTS_PER_S = 0.1;
const MS_PER_S = 1_000;

interface Bucket {
  perSecond: number;
  /** When the limit was last advertised. */
  advertisedAt: number;
  /** Requests that could be sent at the time `updatedAt`; below 0 if entries have sent too many. */
  tokens: number;
  updatedAt: number;
}

/**
 * Creates the limit of an upstream that has advertised none. `connectedFraction` is the fraction of the entries that
 * this one is connected with: the others may be sending as well, so only this fraction of the limit is used.
 */
export const createRateLimit = (clock: Clock, connectedFraction: () => number): RateLimit => {
  let bucket: Bucket | undefined;

  const ratePerMs = ({ perSecond }: Bucket): number =>
    (Math.max(MIN_REQUESTS_PER_S, perSecond) * connectedFraction()) / MS_PER_S;

  const tokensOf = (limit: Bucket): number => {
    const maxTokens = Math.max(1, limit.perSecond * BURST_SECONDS);
    return Math.min(
      maxTokens,
      limit.tokens + (clock.monotonic() - limit.updatedAt) * ratePerMs(limit),
    );
  };

  return {
    perSecond: () => bucket?.perSecond,
    set: (perSecond) => {
      const now = clock.monotonic();
      const isChanged = bucket?.perSecond !== perSecond;
      bucket = {
        perSecond,
        advertisedAt: now,
        tokens: bucket ? tokensOf(bucket) : 0,
        updatedAt: now,
      };
      return isChanged;
    },
    clear: (sentAt) => {
      // A response from before the limit was advertised may arrive after the one that advertised it.
      if (!bucket || sentAt < bucket.advertisedAt) return false;
      bucket = undefined;
      return true;
    },
    spend: (requests) => {
      if (!bucket) return;
      bucket = { ...bucket, tokens: tokensOf(bucket) - requests, updatedAt: clock.monotonic() };
    },
    waitMs: () => {
      if (!bucket) return 0;
      return Math.max(0, Math.ceil((1 - tokensOf(bucket)) / ratePerMs(bucket)));
    },
  };
};
