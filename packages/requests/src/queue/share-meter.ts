import type { Clock } from '@plantaindrum/common';
import { createDecayedSums } from '@plantaindrum/admission';

/** Determines which organisations recently used more than their fair share of an upstream. */
export interface ShareMeter {
  /** Records that an item of the organisation was started. */
  recordServed(organisation: string, cost: number): void;
  /** Records a rejected item, which means that the upstream is overloaded. */
  recordRefusal(): void;
  isOverShare(organisation: string): boolean;
}

/** Time constant of the usage that is compared, in milliseconds. */
const USAGE_TIME_CONSTANT_MS = 10_000;
/** The upstream counts as overloaded for this long after the last rejection, in milliseconds. */
const OVERLOAD_MS = 5_000;
/** Interval after which the result is computed again, in milliseconds. */
const REFRESH_MS = 50;

/**
 * Creates the meter. An organisation is over its share when its usage exceeds `slack` times the
 * mean. Without rejections none is over its share: a large organisation may use the capacity that
 * others leave, and its live work keeps its precedence.
 */
export const createShareMeter = (clock: Clock, slack: number): ShareMeter => {
  const usage = createDecayedSums(clock, USAGE_TIME_CONSTANT_MS);
  let refusedAt = -Infinity;
  let overShare = new Set<string>();
  let refreshedAt = -Infinity;

  const refresh = () => {
    const now = clock.monotonic();
    if (now - refreshedAt < REFRESH_MS) return;
    refreshedAt = now;
    const names = usage.names();
    const usages = names.map((name) => usage.sumOf(name));
    const mean = usages.reduce((sum, value) => sum + value, 0) / Math.max(1, names.length);
    overShare = new Set(names.filter((_, n) => usages[n]! > slack * mean));
  };

  return {
    recordServed: (organisation, cost) => usage.add(organisation, cost),
    recordRefusal: () => {
      refusedAt = clock.monotonic();
    },
    isOverShare: (organisation) => {
      if (clock.monotonic() - refusedAt > OVERLOAD_MS) return false;
      refresh();
      return overShare.has(organisation);
    },
  };
};
