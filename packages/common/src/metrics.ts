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
  record(name: string, value: number, labels?: Labels, times?: number): void;
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

/** All series of one type. */
interface SeriesTable<T> extends ReadonlyMap<string, Series<T>> {
  getOrCreate(name: string, labels: Labels): Series<T>;
}

/** Key of a series with its labels in the order in which the caller names them. */
const callKey = (name: string, labels: Labels): string => {
  let key = name;
  for (const label of Object.keys(labels)) key += `\n${label}\t${labels[label] ?? ''}`;
  return key;
};

/**
 * Creates a table without series. Series are found by the key of the call, since formatting the text of a series at each
 * count took several times as long as the count; two orders of labels lead to the same series.
 */
const createSeriesTable = <T>(create: () => T): SeriesTable<T> => {
  const byText = new Map<string, Series<T>>();
  const byCall = new Map<string, Series<T>>();

  const getOrCreateByText = (name: string, labels: Labels): Series<T> => {
    const text = formatSeries(name, labels);
    const series = byText.get(text) ?? { name, labels, value: create() };
    byText.set(text, series);
    return series;
  };

  const getOrCreate = (name: string, labels: Labels): Series<T> => {
    const key = callKey(name, labels);
    const existing = byCall.get(key);
    if (existing) return existing;
    const series = getOrCreateByText(name, labels);
    byCall.set(key, series);
    return series;
  };

  return Object.assign(byText, { getOrCreate });
};

const NO_LABELS: Labels = {};

/** Creates the metrics of one process. */
export const createMetrics = (): Metrics => {
  const counters = createSeriesTable(() => 0);
  const gauges = createSeriesTable(() => 0);
  const histograms = createSeriesTable(createHistogramData);

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
    count: (name, labels = NO_LABELS, by = 1) => {
      counters.getOrCreate(name, labels).value += by;
    },
    gauge: (name, value, labels = NO_LABELS) => {
      gauges.getOrCreate(name, labels).value = value;
    },
    record: (name, value, labels = NO_LABELS, times = 1) => {
      const clamped = Math.min(MAX_VALUE, Math.max(0, Math.round(value)));
      const data = histograms.getOrCreate(name, labels).value;
      data.histogram.recordValueWithCount(clamped, times);
      data.sum += clamped * times;
    },
    counter: (name, labels = {}) => counters.get(formatSeries(name, labels))?.value ?? 0,
    snapshot,
    exposition: () => formatExposition(snapshot(), metricHelp),
  };
};
