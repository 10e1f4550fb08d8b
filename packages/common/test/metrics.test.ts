import { expect } from 'chai';
import { Registry } from 'prom-client';
import type { Metric } from 'prom-client';
import { createMetrics } from '../src/index.js';
import type { HistogramSummary, Labels } from '../src/index.js';

const ESCAPED_LABEL = 'a "quoted" \\ path\nand a second line';

const createFilledMetrics = () => {
  const metrics = createMetrics();
  metrics.count('refused', { reason: 'queue-full', class: 'live-sale' });
  metrics.gauge('intent_offset', 12);
  metrics.count('refused', { class: ESCAPED_LABEL, reason: 'leaving' }, 3);
  metrics.record('answer_ms', 120, { class: 'live-sale' });
  metrics.record('answer_ms', 80, { class: 'live-sale' });
  metrics.record('answer_ms', 7, { class: 'pings' });
  return metrics;
};

interface Sample {
  labels: Labels;
  value: number;
  metricName?: string;
}

const samplesOf = (name: string, labels: Labels, summary: HistogramSummary): Sample[] => [
  { labels: { ...labels, quantile: '0.5' }, value: summary.p50 },
  { labels: { ...labels, quantile: '0.95' }, value: summary.p95 },
  { labels: { ...labels, quantile: '0.99' }, value: summary.p99 },
  { metricName: `${name}_sum`, labels, value: summary.sum },
  { metricName: `${name}_count`, labels, value: summary.count },
];

/** Formats the same metrics with prom-client, as the reference for `exposition`. */
const formatWithPromClient = (metrics: ReturnType<typeof createMetrics>): Promise<string> => {
  const registry = new Registry();
  const families = new Map<string, { type: string; help: string; values: Sample[] }>();
  const add = (type: string, name: string, fullName: string, values: Sample[]) => {
    const found = families.get(fullName);
    if (found) found.values.push(...values);
    else families.set(fullName, { type, help: name.replaceAll('_', ' '), values });
  };
  const { counters, gauges, histograms } = metrics.snapshot();
  counters.forEach((s) => add('counter', s.name, `plantaindrum_${s.name}_total`, [s]));
  gauges.forEach((s) => add('gauge', s.name, `plantaindrum_${s.name}`, [s]));
  histograms.forEach((s) => {
    const fullName = `plantaindrum_${s.name}`;
    add('summary', s.name, fullName, samplesOf(fullName, s.labels, s.summary));
  });
  families.forEach((family, name) => {
    const values = family.values.map(({ labels, value, metricName }) => ({
      labels: Object.fromEntries(Object.entries(labels).sort(([a], [b]) => (a < b ? -1 : 1))),
      value,
      ...(metricName === undefined ? {} : { metricName }),
    }));
    const metric = { ...family, name, values, get: () => ({ ...family, name, values }) };
    registry.registerMetric(metric as unknown as Metric);
  });
  return registry.metrics();
};

describe('metrics', () => {
  it('formats the text exposition exactly as prom-client does', async () => {
    const metrics = createFilledMetrics();
    expect(metrics.exposition()).to.equal(await formatWithPromClient(metrics));
    expect(metrics.exposition()).toMatchSnapshot();
  });

  it('keeps the series of one name together under one HELP and one TYPE line', () => {
    const lines = createFilledMetrics().exposition().split('\n');
    const types = lines.filter((line) => line.startsWith('# TYPE'));
    expect(types).to.deep.equal([
      '# TYPE plantaindrum_refused_total counter',
      '# TYPE plantaindrum_intent_offset gauge',
      '# TYPE plantaindrum_answer_ms summary',
    ]);
  });

  it('identifies a series by its label values, in any order of the labels', () => {
    const metrics = createMetrics();
    metrics.count('refused', { a: '1', b: '2' });
    metrics.count('refused', { b: '2', a: '1' });
    metrics.count('refused', { a: '1', b: '3' });
    expect(metrics.counter('refused', { a: '1', b: '2' })).to.equal(2);
    expect(metrics.counter('refused', { a: '1', b: '3' })).to.equal(1);
    expect(metrics.counter('refused')).to.equal(0);
  });

  it('keeps registries independent and snapshots unchanged', () => {
    const one = createMetrics();
    one.count('refused');
    const before = one.snapshot();
    one.count('refused');
    expect(before.counters[0]?.value).to.equal(1);
    expect(createMetrics().snapshot()).to.deep.equal({ counters: [], gauges: [], histograms: [] });
  });

  it('keeps the exact sum and clamps values that are out of range', () => {
    const metrics = createMetrics();
    [-5, 0.4, 1_000_003, 1e12].forEach((value) => metrics.record('answer_us', value));
    const summary = metrics.snapshot().histograms[0]?.summary;
    expect(summary?.sum).to.equal(3_601_000_003);
    expect(summary?.count).to.equal(4);
    expect(summary?.max).to.be.closeTo(3_600_000_000, 36_000_000);
  });
});
