/** Labels of one series, for example `{ reason: 'queue-full' }`. */
export type Labels = Readonly<Record<string, string>>;

/** Summary of one histogram, in the unit that its name ends with. */
export interface HistogramSummary {
  count: number;
  /** Exact sum of all recorded values. */
  sum: number;
  mean: number;
  p50: number;
  p95: number;
  p99: number;
  max: number;
}

/** All series of a registry, for `status` and the Prometheus endpoint. */
export interface MetricsSnapshot {
  counters: { name: string; labels: Labels; value: number }[];
  gauges: { name: string; labels: Labels; value: number }[];
  histograms: { name: string; labels: Labels; summary: HistogramSummary }[];
}
