import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { formatExposition, formatSeries } from './exposition.js';
import { metricHelp } from './metric-help.js';
import type { HistogramSummary, Labels, MetricsSnapshot } from './metrics-snapshot.js';

/** Counters, gauges and histograms of one process. */
export interface Metrics {
  count(name: string, labels?: Labels, by?: number): void;
  gauge(name: string, value: number, labels?: Labels): void;
  /** Records a value in a histogram, rounded to an integer, for example of milliseconds. */
  record(name: string, value: number, labels?: Labels): void;
  counter(name: string, labels?: Labels): number;
  snapshot(): MetricsSnapshot;
  /** The Prometheus text exposition format, version 0.0.4. */
  exposition(): string;
}

interface Series<T> {
  name: string;
  labels: Labels;
  value: T;
}

/** A histogram and the exact sum of its values, which its buckets can't provide. */
interface HistogramData {
  histogram: Histogram;
  sum: number;
}

/** Largest recorded value, an hour in microseconds; larger values are recorded as this one. */
const MAX_VALUE = 3_600_000_000;

const summarize = ({ histogram, sum }: HistogramData): HistogramSummary => ({
  count: histogram.totalCount,
  sum,
  mean: histogram.totalCount > 0 ? sum / histogram.totalCount : 0,
  p50: histogram.getValueAtPercentile(50),
  p95: histogram.getValueAtPercentile(95),
  p99: histogram.getValueAtPercentile(99),
  max: histogram.maxValue,
});

/** The histogram resizes itself: fixed buckets would cost 14 kB for each series, and there is one per organisation. */
const createHistogramData = (): HistogramData => ({
  histogram: build({ autoResize: true, bitBucketSize: 32, numberOfSignificantValueDigits: 2 }),
  sum: 0,
});

/** Creates the metrics of one process. */
export const createMetrics = (): Metrics => {
  const counters = new Map<string, Series<number>>();
  const gauges = new Map<string, Series<number>>();
  const histograms = new Map<string, Series<HistogramData>>();

  const getOrCreateSeries = <T>(
    map: Map<string, Series<T>>,
    name: string,
    labels: Labels,
    create: () => T,
  ) => {
    const key = formatSeries(name, labels);
    const existing = map.get(key);
    if (existing) return existing;
    const created = { name, labels, value: create() };
    map.set(key, created);
    return created;
  };

  const snapshot = (): MetricsSnapshot => ({
    counters: [...counters.values()].map((series) => ({ ...series })),
    gauges: [...gauges.values()].map((series) => ({ ...series })),
    histograms: [...histograms.values()].map(({ name, labels, value }) => ({
      name,
      labels,
      summary: summarize(value),
    })),
  });

  return {
    count: (name, labels = {}, by = 1) => {
      getOrCreateSeries(counters, name, labels, () => 0).value += by;
    },
    gauge: (name, value, labels = {}) => {
      getOrCreateSeries(gauges, name, labels, () => 0).value = value;
    },
    record: (name, value, labels = {}) => {
      const clamped = Math.min(MAX_VALUE, Math.max(0, Math.round(value)));
      const data = getOrCreateSeries(histograms, name, labels, createHistogramData).value;
      data.histogram.recordValue(clamped);
      data.sum += clamped;
    },
    counter: (name, labels = {}) => counters.get(formatSeries(name, labels))?.value ?? 0,
    snapshot,
    exposition: () => formatExposition(snapshot(), metricHelp),
  };
};
