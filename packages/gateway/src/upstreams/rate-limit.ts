/**
 * The limit that one upstream names on its requests, as each entry keeps it for all of them together.
 *
 * The pattern: an upstream in need says in an answer to one entry what it takes from all. Entries that each kept the
 * limit would send it as many times that as there are entries; an equal part for each is too little for the entry that
 * has the callers, and with more entries than requests a second their first ones together are too many. So entries tell
 * each other each request they send it and draw from one count: two that meet within the time of a link leave a debt
 * that both pay off by waiting.
 */

import type { Clock } from '@plantaindrum/common';

/** The limit of one upstream. */
export interface RateLimit {
  /** Requests a second that it takes from all entries together; undefined where it names none. */
  perSecond(): number | undefined;
  /** It names a limit; false where that was known. */
  name(perSecond: number): boolean;
  /** It names none in its answer to a request sent at this time (monotonic, ms); false where that ends no limit. */
  end(sentAt: number): boolean;
  /** Requests were sent to it, by this entry or another one. */
  spend(requests: number): void;
  /** Milliseconds until a request may be sent to it, 0 where one may be now. */
  waitMs(): number;
}

/** Time whose requests may be sent at once after a pause, in seconds. */
const BURST_S = 0.25;
/** Requests a second that any upstream gets: without an answer the end of its need would never be known. */
const LEAST_PER_S = 0.1;
const MS_PER_S = 1_000;

interface NamedLimit {
  perSecond: number;
  /** When it was last named or confirmed. */
  heardAt: number;
  /** Requests that may be sent, at a time; below 0 where entries have sent too many. */
  permits: number;
  at: number;
}

/**
 * Creates the limit of an upstream that has named none. `linkedShare` is the part of the entries that this one hears
 * of: the others may be sending as well, so that this part of the limit is all that is drawn from.
 */
export const createRateLimit = (clock: Clock, linkedShare: () => number): RateLimit => {
  let named: NamedLimit | undefined;

  const ratePerMs = ({ perSecond }: NamedLimit): number =>
    (Math.max(LEAST_PER_S, perSecond) * linkedShare()) / MS_PER_S;

  const permitsOf = (limit: NamedLimit): number => {
    const most = Math.max(1, limit.perSecond * BURST_S);
    return Math.min(most, limit.permits + (clock.monotonic() - limit.at) * ratePerMs(limit));
  };

  return {
    perSecond: () => named?.perSecond,
    name: (perSecond) => {
      const now = clock.monotonic();
      const isNews = named?.perSecond !== perSecond;
      named = { perSecond, heardAt: now, permits: named ? permitsOf(named) : 0, at: now };
      return isNews;
    },
    end: (sentAt) => {
      // An answer made before the limit was named may come after one that names it.
      if (!named || sentAt < named.heardAt) return false;
      named = undefined;
      return true;
    },
    spend: (requests) => {
      if (!named) return;
      named = { ...named, permits: permitsOf(named) - requests, at: clock.monotonic() };
    },
    waitMs: () => {
      if (!named) return 0;
      return Math.max(0, Math.ceil((1 - permitsOf(named)) / ratePerMs(named)));
    },
  };
};
