import type { HistogramSummary, Labels, MetricsSnapshot } from './metrics-snapshot.js';

const PREFIX = 'plantaindrum_';

type FamilyType = 'counter' | 'gauge' | 'summary';

/** All series of one name; the format requires them together, after their HELP and TYPE lines. */
interface Family {
  type: FamilyType;
  help: string;
  lines: string[];
}

const sortedLabels = (labels: Labels): [string, string][] =>
  Object.entries(labels).sort(([a], [b]) => (a < b ? -1 : 1));

const escapeHelp = (text: string): string => text.replaceAll('\\', '\\\\').replaceAll('\n', '\\n');

const escapeLabel = (value: string): string => escapeHelp(value).replaceAll('"', '\\"');

/** Formats a series with its labels sorted by name; the text also serves as the key of the series. */
export const formatSeries = (name: string, labels: Labels): string => {
  const pairs = sortedLabels(labels).map(([key, value]) => `${key}="${escapeLabel(value)}"`);
  return pairs.length > 0 ? `${name}{${pairs.join(',')}}` : name;
};

const formatSummary = (name: string, labels: Labels, summary: HistogramSummary): string[] => [
  `${formatSeries(name, { ...labels, quantile: '0.5' })} ${summary.p50}`,
  `${formatSeries(name, { ...labels, quantile: '0.95' })} ${summary.p95}`,
  `${formatSeries(name, { ...labels, quantile: '0.99' })} ${summary.p99}`,
  `${formatSeries(`${name}_sum`, labels)} ${summary.sum}`,
  `${formatSeries(`${name}_count`, labels)} ${summary.count}`,
];

const formatFamily = ([name, { type, help, lines }]: [string, Family]): string =>
  [`# HELP ${name} ${escapeHelp(help)}`, `# TYPE ${name} ${type}`, ...lines].join('\n');

/** Formats a snapshot in the Prometheus text exposition format, version 0.0.4. */
export const formatExposition = (
  snapshot: MetricsSnapshot,
  help: Readonly<Record<string, string>>,
): string => {
  const families = new Map<string, Family>();

  const add = (type: FamilyType, name: string, fullName: string, lines: string[]): void => {
    const family = families.get(fullName);
    if (family) family.lines.push(...lines);
    else families.set(fullName, { type, help: help[name] ?? name.replaceAll('_', ' '), lines });
  };

  snapshot.counters.forEach(({ name, labels, value }) => {
    const fullName = `${PREFIX}${name}_total`;
    add('counter', name, fullName, [`${formatSeries(fullName, labels)} ${value}`]);
  });
  snapshot.gauges.forEach(({ name, labels, value }) => {
    const fullName = `${PREFIX}${name}`;
    add('gauge', name, fullName, [`${formatSeries(fullName, labels)} ${value}`]);
  });
  snapshot.histograms.forEach(({ name, labels, summary }) => {
    const fullName = `${PREFIX}${name}`;
    add('summary', name, fullName, formatSummary(fullName, labels, summary));
  });

  return [...families].map((family) => `${formatFamily(family)}\n`).join('\n');
};
