import { build } from 'hdr-histogram-js';

/** Statistics of a histogram, in the unit of its values. */
export interface HistogramStats {
  count: number;
  mean: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** A histogram of integers. */
export interface Histogram {
  record(value: number): void;
  stats(): HistogramStats;
}

/** Creates an empty histogram with a precision of two significant digits. */
export const createHistogram = (): Histogram => {
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 2,
  });
  return {
    record: (value) => histogram.recordValue(Math.max(0, Math.round(value))),
    stats: () => ({
      count: histogram.totalCount,
      mean: histogram.totalCount > 0 ? Math.round(histogram.mean) : 0,
      p50: histogram.getValueAtPercentile(50),
      p95: histogram.getValueAtPercentile(95),
      p99: histogram.getValueAtPercentile(99),
      max: histogram.maxValue,
    }),
  };
};
