/** Checks that an upstream's rate limit holds for all entries together, by the requests it received. */

import { maxInWindow } from '@plantaindrum/stand-ins';
import type { SoakCall } from './callers.js';
import type { Violation } from './checks.js';
import type { InjectedFault } from './faults.js';

/** An upstream that advertises a rate limit. */
export interface LimitedUpstream {
  /** Requests that it received: id and monotonic time in ms. */
  arrivals: readonly { id: string; at: number }[];
  /** Advertised limit in requests a second, and the time at which it was first advertised. */
  limitPerS: number;
  advertisedAt: number;
}

/** Time from the first advertisement until the limit must hold, and length of the windows in which it must. */
const LIMIT_GRACE_MS = 3_000;
const WINDOW_MS = 4_000;
/** Allowed requests in a window: `factor` times the limit, plus `extra`. */
const TOLERANCE = { factor: 1.5, extra: 5 };
/** Faults after which an entry may have forgotten the limit. */
const STATE_LOSING_FAULTS: ReadonlySet<string> = new Set(['kill', 'planned-stop', 'freeze']);
const MS_PER_S = 1_000;

/** Reports a window in which the upstream got too many requests from entries that had no such fault. */
export const findLimitViolations = (
  upstream: LimitedUpstream,
  calls: readonly SoakCall[],
  faults: readonly InjectedFault[],
): Violation[] => {
  const { arrivals, limitPerS, advertisedAt } = upstream;
  const entries = new Map(calls.map(({ id, entry }) => [id, entry]));
  const mayHaveForgottenLimit = ({ id, at }: { id: string; at: number }): boolean =>
    faults.some(
      ({ what, on, fromMs, toMs }) =>
        STATE_LOSING_FAULTS.has(what) &&
        on === entries.get(id) &&
        fromMs <= at &&
        toMs >= at - WINDOW_MS,
    );
  const countedTimes = arrivals
    .filter(
      (arrival) => arrival.at >= advertisedAt + LIMIT_GRACE_MS && !mayHaveForgottenLimit(arrival),
    )
    .map(({ at }) => at);
  const maxRequests = maxInWindow(countedTimes, WINDOW_MS);
  const allowed = (TOLERANCE.factor * limitPerS * WINDOW_MS) / MS_PER_S + TOLERANCE.extra;
  if (maxRequests <= allowed) return [];
  const details = `${maxRequests} requests in ${WINDOW_MS} ms, ${limitPerS} a second advertised; ${allowed} allowed`;
  return [{ guarantee: 'an advertised limit holds for all entries together', details }];
};
