// The platform's balancer: probes each entry once a second; two misses take it out of rotation.

import { clearInterval, setInterval } from 'node:timers';

/** Starts to probe; `pick` returns an entry in rotation for a consumer's hash. */
export const startBalancer = (site, entries) => {
  const misses = new Map(entries.map(({ name }) => [name, 0]));
  const probe = () =>
    entries.forEach(async (entry) => {
      const isReady = await site.isReady(entry);
      misses.set(entry.name, isReady ? 0 : misses.get(entry.name) + 1);
    });
  const timer = setInterval(probe, 1_000);
  return {
    pick: (hash) => {
      const inRotation = entries.filter(({ name }) => misses.get(name) < 2);
      const candidates = inRotation.length > 0 ? inRotation : entries;
      return candidates[hash % candidates.length];
    },
    close: () => clearInterval(timer),
  };
};
