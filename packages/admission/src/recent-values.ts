import type { Clock } from '@plantaindrum/common';

/** Values of the last moments, with their quantiles. */
export interface RecentValues {
  record(value: number): void;
  /** Quantile of the values within the window; undefined without any. */
  quantile(quantile: number): number | undefined;
}

/** How often the quantile is computed again, in ms: a decision must not sort all values. */
const REFRESH_MS = 50;

/** Creates an empty window of `windowMs`, with at most `capacity` values. */
export const createRecentValues = (
  clock: Clock,
  windowMs: number,
  capacity: number,
): RecentValues => {
  let samples: { at: number; value: number }[] = [];
  let sorted: number[] = [];
  let sortedAt = -Infinity;

  const dropOld = (now: number): void => {
    samples = samples.filter(({ at }) => at >= now - windowMs).slice(-capacity);
  };

  return {
    record: (value) => {
      const now = clock.monotonic();
      samples.push({ at: now, value });
      if (samples.length > 2 * capacity) dropOld(now);
    },
    quantile: (quantile) => {
      const now = clock.monotonic();
      if (now - sortedAt >= REFRESH_MS) {
        dropOld(now);
        sorted = samples.map(({ value }) => value).sort((a, b) => a - b);
        sortedAt = now;
      }
      return sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
    },
  };
};
