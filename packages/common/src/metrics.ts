import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';
import { formatExposition, seriesText } from './exposition.js';
import { metricHelp } from './metric-help.js';
import type { HistogramSummary, Labels, MetricsSnapshot } from './metrics-snapshot.js';

/** Counters, gauges and histograms of one process. */
export interface Metrics {
  count(name: string, labels?: Labels, by?: number): void;
  gauge(name: string, value: number, labels?: Labels): void;
  /** Records a whole-number value, for example milliseconds or microseconds. */
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

/** A histogram and the exact sum of its values, which buckets can't give. */
interface Recording {
  histogram: Histogram;
  sum: number;
}

/** An hour in microseconds; a larger value is recorded as this. */
const HIGHEST_VALUE = 3_600_000_000;

const summarize = ({ histogram, sum }: Recording): HistogramSummary => ({
  count: histogram.totalCount,
  sum,
  mean: histogram.totalCount > 0 ? sum / histogram.totalCount : 0,
  p50: histogram.getValueAtPercentile(50),
  p95: histogram.getValueAtPercentile(95),
  p99: histogram.getValueAtPercentile(99),
  max: histogram.maxValue,
});

/** Grows with its values: with a series for each organisation, fixed buckets cost 14 kB each. */
const createRecording = (): Recording => ({
  histogram: build({ autoResize: true, bitBucketSize: 32, numberOfSignificantValueDigits: 2 }),
  sum: 0,
});

/** Creates the metrics of one process. */
export const createMetrics = (): Metrics => {
  const counters = new Map<string, Series<number>>();
  const gauges = new Map<string, Series<number>>();
  const histograms = new Map<string, Series<Recording>>();

  const slot = <T>(map: Map<string, Series<T>>, name: string, labels: Labels, make: () => T) => {
    const key = seriesText(name, labels);
    const found = map.get(key);
    if (found) return found;
    const made = { name, labels, value: make() };
    map.set(key, made);
    return made;
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
      slot(counters, name, labels, () => 0).value += by;
    },
    gauge: (name, value, labels = {}) => {
      slot(gauges, name, labels, () => 0).value = value;
    },
    record: (name, value, labels = {}) => {
      const whole = Math.min(HIGHEST_VALUE, Math.max(0, Math.round(value)));
      const recording = slot(histograms, name, labels, createRecording).value;
      recording.histogram.recordValue(whole);
      recording.sum += whole;
    },
    counter: (name, labels = {}) => counters.get(seriesText(name, labels))?.value ?? 0,
    snapshot,
    exposition: () => formatExposition(snapshot(), metricHelp),
  };
};
