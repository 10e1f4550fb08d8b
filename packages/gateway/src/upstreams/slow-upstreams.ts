/**
 * Excludes upstreams that are so slow that their service has a higher throughput without them.
 *
 * The engines of an expert group start each pass together, and a pass takes as long as that of the slowest rank that
 * has streams. One rank that was 12 times slower raised every pass from 50 to 370 ms until its last stream ended 7 s
 * later, and delayed every stream of the group. The throughput of a group is its streams divided by the time of a pass,
 * so a slow upstream is worth using only if the others have too few slots for the requests.
 */

import type { Upstream } from './upstream.js';

/** The slowdown and the slots of an upstream. */
export interface UpstreamSlowdown {
  /** Time of its own work relative to the baseline, 1 is normal. */
  slowdown: number;
  slots: number;
}

/**
 * Returns the largest slowdown of an upstream that is used, for this many concurrent requests: the one that gives the
 * highest throughput, and the larger one of equals.
 */
export const maxUsedSlowdown = (
  upstreams: readonly UpstreamSlowdown[],
  requests: number,
): number => {
  const slowdowns = [...new Set(upstreams.map(({ slowdown }) => slowdown))].sort((a, b) => a - b);
  let slots = 0;
  let best = { slowdown: Infinity, throughput: -1 };
  slowdowns.forEach((slowdown) => {
    slots += upstreams
      .filter((upstream) => upstream.slowdown === slowdown)
      .reduce((sum, upstream) => sum + upstream.slots, 0);
    const throughput = Math.min(slots, Math.max(1, requests)) / slowdown;
    if (throughput >= best.throughput) best = { slowdown, throughput };
  });
  return best.slowdown;
};

/** What the decision needs of an upstream. */
type SlowdownSource = Pick<Upstream, 'slowdown' | 'total' | 'record'>;

/** Returns the upstreams that new requests are sent to: all except stragglers. */
export const withoutStragglers = <U extends SlowdownSource>(upstreams: readonly U[]): U[] => {
  if (upstreams.every((upstream) => upstream.slowdown() === 1)) return [...upstreams];
  const measured = upstreams.map(({ slowdown, record }) => ({
    slowdown: slowdown(),
    slots: record.slots,
  }));
  const inFlight = upstreams.reduce((sum, upstream) => sum + upstream.total(), 0);
  const maxSlowdown = maxUsedSlowdown(measured, inFlight);
  return upstreams.filter((upstream) => upstream.slowdown() <= maxSlowdown);
};
