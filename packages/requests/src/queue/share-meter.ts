import type { Clock } from '@plantaindrum/common';
import { createDecayedSums } from './decayed-sums.js';

/** Tells which organisations have had more than their fair share of an upstream lately. */
export interface ShareMeter {
  /** Work of the organisation was started. */
  served(organisation: string, cost: number): void;
  /** Work was refused or given up: there is not enough for all. */
  refused(): void;
  isOver(organisation: string): boolean;
}

/** Time over which shares are compared, in milliseconds. */
const SHARE_LIFE_MS = 10_000;
/** Shares matter until this long after the last refusal, in milliseconds. */
const OVERLOAD_MS = 5_000;
/** The verdicts are worked out anew this often, in milliseconds. */
const REFRESH_MS = 50;

/**
 * Creates the meter. `slack`: an organisation is over its share above this multiple of the mean.
 * While nothing is refused nobody is over: a large organisation may then use what others leave, and
 * its live work keeps its precedence.
 */
export const createShareMeter = (clock: Clock, slack: number): ShareMeter => {
  const usage = createDecayedSums(clock, SHARE_LIFE_MS);
  let refusedAt = -Infinity;
  let over = new Set<string>();
  let refreshedAt = -Infinity;

  const refresh = () => {
    const now = clock.monotonic();
    if (now - refreshedAt < REFRESH_MS) return;
    refreshedAt = now;
    const names = usage.names();
    const shares = names.map((name) => usage.of(name));
    const mean = shares.reduce((sum, share) => sum + share, 0) / Math.max(1, names.length);
    over = new Set(names.filter((_, n) => shares[n]! > slack * mean));
  };

  return {
    served: (organisation, cost) => usage.add(organisation, cost),
    refused: () => {
      refusedAt = clock.monotonic();
    },
    isOver: (organisation) => {
      if (clock.monotonic() - refusedAt > OVERLOAD_MS) return false;
      refresh();
      return over.has(organisation);
    },
  };
};
