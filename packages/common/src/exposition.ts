import type { HistogramSummary, Labels, MetricsSnapshot } from './metrics-snapshot.js';

const PREFIX = 'plantaindrum_';

type FamilyType = 'counter' | 'gauge' | 'summary';

/** All series of one name; the format wants them together, after their HELP and TYPE lines. */
interface Family {
  type: FamilyType;
  help: string;
  lines: string[];
}

const sortedLabels = (labels: Labels): [string, string][] =>
  Object.entries(labels).sort(([a], [b]) => (a < b ? -1 : 1));

const escapeHelp = (text: string): string => text.replaceAll('\\', '\\\\').replaceAll('\n', '\\n');

const escapeLabel = (value: string): string => escapeHelp(value).replaceAll('"', '\\"');

/** A series as the format writes it, labels in order; also serves as its key. */
export const seriesText = (name: string, labels: Labels): string => {
  const inner = sortedLabels(labels).map(([key, value]) => `${key}="${escapeLabel(value)}"`);
  return inner.length > 0 ? `${name}{${inner.join(',')}}` : name;
};

const summaryLines = (name: string, labels: Labels, summary: HistogramSummary): string[] => [
  `${seriesText(name, { ...labels, quantile: '0.5' })} ${summary.p50}`,
  `${seriesText(name, { ...labels, quantile: '0.95' })} ${summary.p95}`,
  `${seriesText(name, { ...labels, quantile: '0.99' })} ${summary.p99}`,
  `${seriesText(`${name}_sum`, labels)} ${summary.sum}`,
  `${seriesText(`${name}_count`, labels)} ${summary.count}`,
];

const familyText = ([name, { type, help, lines }]: [string, Family]): string =>
  [`# HELP ${name} ${escapeHelp(help)}`, `# TYPE ${name} ${type}`, ...lines].join('\n');

/** A snapshot in the Prometheus text exposition format, version 0.0.4. */
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
    add('counter', name, fullName, [`${seriesText(fullName, labels)} ${value}`]);
  });
  snapshot.gauges.forEach(({ name, labels, value }) => {
    const fullName = `${PREFIX}${name}`;
    add('gauge', name, fullName, [`${seriesText(fullName, labels)} ${value}`]);
  });
  snapshot.histograms.forEach(({ name, labels, summary }) => {
    const fullName = `${PREFIX}${name}`;
    add('summary', name, fullName, summaryLines(fullName, labels, summary));
  });

  return [...families].map((family) => `${familyText(family)}\n`).join('\n');
};
