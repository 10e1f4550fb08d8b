/**
 * Which upstreams of a service to do without because they are slow.
 *
 * The pattern: the engines of an expert group begin each pass together, and a pass lasts as long as
 * the slowest of those that have streams. One rank 12 times slower made every pass 370 ms in place of
 * 50 until its last stream had ended, 7 s later, and every stream of the group late. What the group
 * makes is streams over the time of a pass, so a slow upstream is worth its places only where those of
 * the others don't take what is asked for.
 */

import type { Upstream } from './upstream.js';

/** An upstream as this decision needs it. */
export interface PacedUpstream {
  /** Time of its own work over the usual. */
  pace: number;
  slots: number;
}

/**
 * The pace up to which upstreams are used, for this many requests at once: the one with the most
 * requests over the time of a pass, and of equal ones the higher.
 */
export const usedPace = (upstreams: readonly PacedUpstream[], requests: number): number => {
  const paces = [...new Set(upstreams.map(({ pace }) => pace))].sort((a, b) => a - b);
  let slots = 0;
  let best = { pace: Infinity, output: -1 };
  paces.forEach((pace) => {
    slots += upstreams
      .filter((upstream) => upstream.pace === pace)
      .reduce((sum, upstream) => sum + upstream.slots, 0);
    const output = Math.min(slots, Math.max(1, requests)) / pace;
    if (output >= best.output) best = { pace, output };
  });
  return best.pace;
};

/** What is asked of an upstream to tell whether it is done without. */
type Judged = Pick<Upstream, 'pace' | 'total' | 'record'>;

/** Those that new work goes to: all, less the ones that would hold the others up. */
export const withoutSlow = <U extends Judged>(upstreams: readonly U[]): U[] => {
  if (upstreams.every((upstream) => upstream.pace() === 1)) return [...upstreams];
  const paced = upstreams.map(({ pace, record }) => ({ pace: pace(), slots: record.slots }));
  const inFlight = upstreams.reduce((sum, upstream) => sum + upstream.total(), 0);
  const most = usedPace(paced, inFlight);
  return upstreams.filter((upstream) => upstream.pace() <= most);
};
