/** Estimates how many requests the other entries send to a service, from their load updates. */

import type { Clock } from '@plantaindrum/common';

/** Requests that the other entries send, by service. */
export interface PeerArrivals {
  /** Records that another entry has this many more requests at the service's upstreams. */
  record(service: string, increase: number): void;
  /** Estimated number of requests that others have sent and not reported yet. */
  unreported(service: string): number;
}

/** Time constant of the decaying count of arrivals, in ms: a burst becomes visible within a second. */
const ARRIVALS_TIME_CONSTANT_MS = 1_000;
/** Age of the load that is known of the others, in ms: they report it every 60 ms, and links add a little. */
const REPORT_AGE_MS = 60;

/** Creates an estimate without any arrivals. */
export const createPeerArrivals = (clock: Clock): PeerArrivals => {
  const recent = new Map<string, { count: number; at: number }>();

  const countOf = (service: string): number => {
    const last = recent.get(service);
    return last
      ? last.count * Math.exp((last.at - clock.monotonic()) / ARRIVALS_TIME_CONSTANT_MS)
      : 0;
  };

  return {
    record: (service, increase) => {
      if (increase <= 0) return;
      recent.set(service, { count: countOf(service) + increase, at: clock.monotonic() });
    },
    unreported: (service) => (countOf(service) * REPORT_AGE_MS) / ARRIVALS_TIME_CONSTANT_MS,
  };
};
