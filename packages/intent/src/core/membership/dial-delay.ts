import type { Random } from '@plantaindrum/common';

/** What a delay before dialling depends on. */
export interface DialDelay {
  /** Nodes that dial the same peer, as far as the list tells; 1 when unknown. */
  dialers: number;
  /** Connections that one peer takes a second without its answers getting late. */
  acceptsPerSecond: number;
  random: Random;
}

const LONGEST_SPREAD_MS = 10_000;

/**
 * Delay before a first dial, in milliseconds, uniform over a spread that grows with the crowd.
 *
 * When a data centre comes back all its peers dial it at once, and an agent busy with hellos answers
 * nobody's requests in time. Spread over the time that one peer needs to accept all its dialers, the
 * crowd arrives no faster than it is taken in.
 */
export const dialDelayMs = ({ dialers, acceptsPerSecond, random }: DialDelay): number => {
  if (dialers <= 1) return 0;
  const spreadMs = Math.min(LONGEST_SPREAD_MS, (dialers / acceptsPerSecond) * 1_000);
  return random() * spreadMs;
};
