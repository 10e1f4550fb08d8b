import type { EntryStatus } from '../../core/status/entry-status.js';

const table = (rows: string[][]): string[] => {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows.map((row) =>
    `  ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ')}`.trimEnd(),
  );
};

const section = (title: string, head: string[], rows: string[][]): string[] =>
  rows.length > 0 ? ['', title, ...table([head, ...rows])] : ['', `${title}: none`];

const percent = (share: number | undefined): string =>
  share === undefined ? '-' : `${(share * 100).toFixed(1)}%`;

const met = (value: boolean | undefined): string => {
  if (value === undefined) return 'no traffic';
  return value ? 'met' : 'MISSED';
};

const numberOf = (value: number | undefined): string => (value === undefined ? '-' : `${value}`);

const stateOf = (linked: boolean, leaving: boolean): string => {
  if (leaving) return 'leaving';
  return linked ? 'serving' : 'no link';
};

const headLines = ({ node, ready, reason, inFlight, intent }: EntryStatus): string[] => [
  `${node.name} (${node.role}, ${node.dataCentre}, ${node.region}): ${ready ? 'ready' : `not ready: ${reason ?? ''}`}`,
  `intent at version ${intent.offset}${intent.freshness.caughtUp ? '' : ', not confirmed'}; ${inFlight} in flight`,
];

/** The text of `plantaindrum status`. */
export const formatStatus = (status: EntryStatus): string =>
  [
    ...headLines(status),
    ...section(
      'Classes (last minute)',
      ['class', 'latest answer', 'target', 'served', 'requests', ''],
      status.classes.map((line) => [
        line.name,
        `${line.latestAnswerMs} ms`,
        percent(line.share),
        percent(line.served),
        `${line.requests}`,
        met(line.met),
      ]),
    ),
    ...section(
      'Upstreams',
      ['upstream', 'data centre', 'serves', 'state', 'outstanding', 'queued', 'running'],
      status.upstreams.map((line) => [
        line.name,
        line.dataCentre,
        line.serves,
        stateOf(line.linked, line.leaving),
        `${line.outstanding}`,
        numberOf(line.queued),
        numberOf(line.running),
      ]),
    ),
    ...section(
      'Expert groups',
      ['group', 'upstreams', 'linked'],
      status.groups.map((line) => [line.name, `${line.upstreams}`, `${line.linked}`]),
    ),
    ...section(
      'Organisations',
      ['organisation', 'answered', 'refused', 'gone'],
      status.organisations.map((line) => [
        line.name,
        `${line.answered}`,
        `${line.refused}`,
        `${line.gone}`,
      ]),
    ),
    ...section(
      'Data centres',
      ['data centre', 'state'],
      status.dataCentres.map((line) => [line.name, line.state]),
    ),
  ].join('\n');
