/** The promise that an upstream's rate limit holds for all entries together, checked against what it got. */

import { mostInWindow } from '@plantaindrum/stand-ins';
import type { SoakCall } from './callers.js';
import type { Violation } from './checks.js';
import type { PlayedFault } from './faults.js';

/** An upstream that advertises a rate limit. */
export interface LimitedUpstream {
  /** Requests that reached it, by id, and when (monotonic, ms). */
  arrivals: readonly { id: string; at: number }[];
  /** Requests a second that it advertises, and since when. */
  limitPerS: number;
  advertisedAt: number;
}

/** Time after which a limit counts, and the length of the windows in which it does, in ms. */
const COUNTS_AFTER_MS = 3_000;
const WINDOW_MS = 4_000;
/** What an upstream may get in a window: this many times its limit, and some more. */
const ALLOWED = { times: 1.5, more: 5 };
/** An entry that was harmed in these ways may have forgotten the limit. */
const EXCUSES: ReadonlySet<string> = new Set(['kill', 'planned-stop', 'freeze']);
const MS_PER_S = 1_000;

/** Windows in which the upstream got more than its limit, from entries that nothing had harmed. */
export const findLimitViolations = (
  upstream: LimitedUpstream,
  calls: readonly SoakCall[],
  faults: readonly PlayedFault[],
): Violation[] => {
  const { arrivals, limitPerS, advertisedAt } = upstream;
  const entries = new Map(calls.map(({ id, entry }) => [id, entry]));
  const isExcused = ({ id, at }: { id: string; at: number }): boolean =>
    faults.some(
      ({ what, on, fromMs, toMs }) =>
        EXCUSES.has(what) && on === entries.get(id) && fromMs <= at && toMs >= at - WINDOW_MS,
    );
  const counted = arrivals
    .filter((arrival) => arrival.at >= advertisedAt + COUNTS_AFTER_MS && !isExcused(arrival))
    .map(({ at }) => at);
  const most = mostInWindow(counted, WINDOW_MS);
  const allowed = (ALLOWED.times * limitPerS * WINDOW_MS) / MS_PER_S + ALLOWED.more;
  if (most <= allowed) return [];
  const what = `${most} requests in ${WINDOW_MS} ms, ${limitPerS} a second named; ${allowed} allowed`;
  return [{ promise: 'a named limit holds for all entries together', what }];
};
