import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

/** Labels of one series, for example `{ reason: 'queue-full' }`. */
export type Labels = Readonly<Record<string, string>>;

/** Percentiles of one histogram, in the unit that its name ends with. */
export interface HistogramSummary {
  count: number;
  mean: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** Everything a registry holds, for `status` and the Prometheus endpoint. */
export interface MetricsSnapshot {
  counters: { name: string; labels: Labels; value: number }[];
  gauges: { name: string; labels: Labels; value: number }[];
  histograms: { name: string; labels: Labels; summary: HistogramSummary }[];
}

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

const PREFIX = 'plantaindrum_';

const sortedLabels = (labels: Labels): [string, string][] =>
  Object.entries(labels).sort(([a], [b]) => (a < b ? -1 : 1));

const escapeLabel = (value: string): string =>
  value.replaceAll('\\', '\\\\').replaceAll('"', '\\"').replaceAll('\n', '\\n');

const seriesText = (name: string, labels: Labels): string => {
  const inner = sortedLabels(labels).map(([key, value]) => `${key}="${escapeLabel(value)}"`);
  return inner.length > 0 ? `${name}{${inner.join(',')}}` : name;
};

const summarize = (histogram: Histogram): HistogramSummary => ({
  count: histogram.totalCount,
  mean: histogram.totalCount > 0 ? histogram.mean : 0,
  p50: histogram.getValueAtPercentile(50),
  p95: histogram.getValueAtPercentile(95),
  p99: histogram.getValueAtPercentile(99),
  max: histogram.maxValue,
});

const createHistogram = (): Histogram =>
  build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 2,
  });

const summaryLines = (name: string, labels: Labels, summary: HistogramSummary): string[] => [
  `${seriesText(name, { ...labels, quantile: '0.5' })} ${summary.p50}`,
  `${seriesText(name, { ...labels, quantile: '0.95' })} ${summary.p95}`,
  `${seriesText(name, { ...labels, quantile: '0.99' })} ${summary.p99}`,
  `${seriesText(`${name}_sum`, labels)} ${Math.round(summary.mean * summary.count)}`,
  `${seriesText(`${name}_count`, labels)} ${summary.count}`,
];

/** Creates the metrics of one process. */
export const createMetrics = (): Metrics => {
  const counters = new Map<string, Series<number>>();
  const gauges = new Map<string, Series<number>>();
  const histograms = new Map<string, Series<Histogram>>();

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

  const exposition = (): string => {
    const all = snapshot();
    const lines = [
      ...all.counters.map((s) => `${seriesText(`${PREFIX}${s.name}_total`, s.labels)} ${s.value}`),
      ...all.gauges.map((s) => `${seriesText(`${PREFIX}${s.name}`, s.labels)} ${s.value}`),
      ...all.histograms.flatMap((s) => summaryLines(`${PREFIX}${s.name}`, s.labels, s.summary)),
    ];
    return `${lines.join('\n')}\n`;
  };

  return {
    count: (name, labels = {}, by = 1) => {
      slot(counters, name, labels, () => 0).value += by;
    },
    gauge: (name, value, labels = {}) => {
      slot(gauges, name, labels, () => 0).value = value;
    },
    record: (name, value, labels = {}) => {
      const whole = Math.max(0, Math.round(value));
      slot(histograms, name, labels, createHistogram).value.recordValue(whole);
    },
    counter: (name, labels = {}) => counters.get(seriesText(name, labels))?.value ?? 0,
    snapshot,
    exposition,
  };
};
