import type { Random } from '@plantaindrum/common';

/** Inputs of `dialDelayMs`. */
export interface DialDelay {
  /** Number of nodes that dial the same peer, according to the VM list; 1 if unknown. */
  dialers: number;
  /** Connections per second that a peer can accept without delaying its answers. */
  acceptsPerSecond: number;
  random: Random;
}

/** Upper bound of the spread, in milliseconds. */
const MAX_SPREAD_MS = 10_000;

/**
 * Delay before the first dial to a peer, in milliseconds, uniformly random over a spread that grows
 * with the number of dialling nodes.
 *
 * When a data centre returns, all its peers dial it at once, and an agent that is busy with
 * handshakes answers no request in time. The spread is the time that a peer needs to accept all its
 * dialers, so connections arrive no faster than they are accepted.
 */
export const dialDelayMs = ({ dialers, acceptsPerSecond, random }: DialDelay): number => {
  if (dialers <= 1) return 0;
  const spreadMs = Math.min(MAX_SPREAD_MS, (dialers / acceptsPerSecond) * 1_000);
  return random() * spreadMs;
};
