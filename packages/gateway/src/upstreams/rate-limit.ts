/**
 * The rate limit that one upstream advertises, as each entry enforces it for all of them together.
 *
 * The pattern: an overloaded upstream advertises to one entry what it takes from all. Entries that each applied the
 * limit alone would send as many times that as there are entries. Equal parts are too little for the entry that has the
 * callers, and with more entries than requests a second their first requests together are too many. So entries tell each
 * other of each request and draw from one token bucket: requests sent at once by several entries leave a debt, which all
 * of them pay off by waiting.
 */

import type { Clock } from '@plantaindrum/common';

/** The limit of one upstream. */
export interface RateLimit {
  /** Requests a second that it takes from all entries together; undefined where it advertises none. */
  perSecond(): number | undefined;
  /** The upstream advertises a limit; false where that was known. */
  set(perSecond: number): boolean;
  /** It advertises none in its answer to a request sent at this time (monotonic, ms); false where that clears none. */
  clear(sentAt: number): boolean;
  /** Requests were sent to it, by this entry or another one. */
  spend(requests: number): void;
  /** Milliseconds until a request may be sent to it, 0 where one may be now. */
  waitMs(): number;
}

/** Time whose requests may be sent at once after a pause, in seconds. */
const BURST_S = 0.25;
/** Requests a second that any upstream gets: only an answer can clear a limit. */
const LEAST_PER_S = 0.1;
const MS_PER_S = 1_000;

interface Bucket {
  perSecond: number;
  /** When the limit was last advertised. */
  heardAt: number;
  /** Requests that may be sent, at a time; below 0 where entries have sent too many. */
  tokens: number;
  at: number;
}

/**
 * Creates the limit of an upstream that has advertised none. `linkedShare` is the part of the entries that this one hears
 * of: the others may be sending as well, so that this part of the limit is all that is drawn from.
 */
export const createRateLimit = (clock: Clock, linkedShare: () => number): RateLimit => {
  let bucket: Bucket | undefined;

  const ratePerMs = ({ perSecond }: Bucket): number =>
    (Math.max(LEAST_PER_S, perSecond) * linkedShare()) / MS_PER_S;

  const tokensOf = (limit: Bucket): number => {
    const most = Math.max(1, limit.perSecond * BURST_S);
    return Math.min(most, limit.tokens + (clock.monotonic() - limit.at) * ratePerMs(limit));
  };

  return {
    perSecond: () => bucket?.perSecond,
    set: (perSecond) => {
      const now = clock.monotonic();
      const isNews = bucket?.perSecond !== perSecond;
      bucket = { perSecond, heardAt: now, tokens: bucket ? tokensOf(bucket) : 0, at: now };
      return isNews;
    },
    clear: (sentAt) => {
      // An answer made before the limit was advertised may come after one that bears it.
      if (!bucket || sentAt < bucket.heardAt) return false;
      bucket = undefined;
      return true;
    },
    spend: (requests) => {
      if (!bucket) return;
      bucket = { ...bucket, tokens: tokensOf(bucket) - requests, at: clock.monotonic() };
    },
    waitMs: () => {
      if (!bucket) return 0;
      return Math.max(0, Math.ceil((1 - tokensOf(bucket)) / ratePerMs(bucket)));
    },
  };
};
