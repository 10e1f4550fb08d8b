/** How many requests the other entries send to a service, as their shares of load show it. */

import type { Clock } from '@plantaindrum/common';

/** Requests of the other entries, by service. */
export interface Arrivals {
  /** This many more requests of another entry are at the service's upstreams. */
  note(service: string, more: number): void;
  /** Requests that others have sent and this entry has not heard of yet. */
  unheard(service: string): number;
}

/** Time over which arrivals are averaged, in ms: a burst shows within a second. */
const MEMORY_MS = 1_000;
/** Age of what is known of the others, in ms: they tell it every 60, and links take some more. */
const AGE_MS = 60;

/** Creates the record. */
export const createArrivals = (clock: Clock): Arrivals => {
  const recent = new Map<string, { count: number; at: number }>();

  const countOf = (service: string): number => {
    const known = recent.get(service);
    return known ? known.count * Math.exp((known.at - clock.monotonic()) / MEMORY_MS) : 0;
  };

  return {
    note: (service, more) => {
      if (more <= 0) return;
      recent.set(service, { count: countOf(service) + more, at: clock.monotonic() });
    },
    unheard: (service) => (countOf(service) * AGE_MS) / MEMORY_MS,
  };
};
