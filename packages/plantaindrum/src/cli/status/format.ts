import type { NodeReport } from '../../core/entry/node-reports.js';
import type { EntryStatus, UpstreamSummary } from '../../core/status/entry-status.js';

const alignColumns = (rows: string[][]): string[] => {
  const widths = (rows[0] ?? []).map((_, column) =>
    Math.max(...rows.map((row) => row[column]?.length ?? 0)),
  );
  return rows.map((row) =>
    `  ${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ')}`.trimEnd(),
  );
};

const formatSection = (title: string, headers: string[], rows: string[][]): string[] =>
  rows.length > 0 ? ['', title, ...alignColumns([headers, ...rows])] : ['', `${title}: none`];

const formatPercent = (share: number | undefined): string =>
  share === undefined ? '-' : `${(share * 100).toFixed(1)}%`;

const formatMet = (value: boolean | undefined): string => {
  if (value === undefined) return 'no traffic';
  return value ? 'met' : 'MISSED';
};

const formatNumber = (value: number | undefined): string =>
  value === undefined ? '-' : `${value}`;

const describeUpstreamState = ({ linked, leaving, health }: UpstreamSummary): string => {
  if (leaving) return 'leaving';
  return linked ? health : 'no link';
};

const describeReadiness = (ready: boolean, reason: string | undefined): string =>
  ready ? 'ready' : `not ready${reason === undefined ? '' : `: ${reason}`}`;

const describeIntent = ({ offset, freshness }: EntryStatus['intent']): string => {
  const why = freshness.reason === undefined ? '' : `: ${freshness.reason}`;
  return `intent at version ${offset} (${freshness.state}${why})`;
};

const headerLines = ({ node, ready, reason, inFlight, intent }: EntryStatus): string[] => [
  `${node.name} (${node.role}, ${node.dataCentre}, ${node.region}): ${describeReadiness(ready, reason)}`,
  `${describeIntent(intent)}; ${inFlight} in flight`,
];

/** Group status in the report of an agent; only the acting coordinator knows the expert map. */
interface GroupReport {
  group?: string;
  coordinator?: {
    role?: string;
    fence?: number;
    version?: number;
    imbalance?: number;
    stragglers?: { rank: number; speed: number }[];
  };
}

const memberReports = (nodes: NodeReport[], name: string): NodeReport[] =>
  nodes.filter(({ group }) => (group as GroupReport | undefined)?.group === name);

const coordinatorCells = (nodes: NodeReport[], name: string): string[] => {
  const members = memberReports(nodes, name);
  const acting = members.find(({ group }) => (group as GroupReport).coordinator?.role === 'acting');
  const coordinator = (acting?.group as GroupReport | undefined)?.coordinator;
  if (!acting || !coordinator) return ['-', '-', '-', '-'];
  const stragglers = (coordinator.stragglers ?? []).map(({ rank }) => `rank ${rank}`).join(', ');
  return [
    acting.node,
    formatNumber(coordinator.version),
    coordinator.imbalance === undefined ? '-' : coordinator.imbalance.toFixed(2),
    stragglers || 'none',
  ];
};

const nodeRow = ({ node, role, dataCentre, inFlight, intentOffset }: NodeReport): string[] => [
  node,
  role,
  dataCentre,
  inFlight === undefined ? 'no answer' : `${inFlight}`,
  formatNumber(intentOffset),
];

/** The part of an agent's `GET /status` document that is printed. */
export interface AgentStatus {
  node: { name: string; dataCentre: string; region: string; role: 'agent' };
  ready: boolean;
  inFlight: number;
  load: { queued: number; running: number; drainPerSecond: number; leaving: boolean };
  intent: EntryStatus['intent'];
  group?: unknown;
}

/** Formats the output of `plantaindrum status` for an agent. */
export const formatAgentStatus = ({ node, ready, load, intent, group }: AgentStatus): string =>
  [
    `${node.name} (${node.role}, ${node.dataCentre}, ${node.region}): ${describeReadiness(ready, undefined)}`,
    `${describeIntent(intent)}; ${load.queued} queued, ${load.running} running, ${load.drainPerSecond.toFixed(1)} served a second${load.leaving ? ', leaving' : ''}`,
    ...(group === undefined ? [] : [`group: ${JSON.stringify(group)}`]),
  ].join('\n');

/** Formats the output of `plantaindrum status` for an entry. */
export const formatEntryStatus = (status: EntryStatus, nodes: NodeReport[]): string =>
  [
    ...headerLines(status),
    ...formatSection(
      'Classes (last minute)',
      ['class', 'latest answer', 'target', 'served', 'requests', ''],
      status.classes.map((line) => [
        line.name,
        `${line.latestAnswerMs} ms`,
        formatPercent(line.share),
        formatPercent(line.served),
        `${line.requests}`,
        formatMet(line.met),
      ]),
    ),
    ...formatSection(
      'Nodes',
      ['node', 'role', 'data centre', 'in flight', 'intent'],
      nodes.map(nodeRow),
    ),
    ...formatSection(
      'Upstreams',
      ['upstream', 'data centre', 'serves', 'state', 'outstanding', 'queued', 'running'],
      status.upstreams.map((line) => [
        line.name,
        line.dataCentre,
        line.serves,
        describeUpstreamState(line),
        `${line.outstanding}`,
        formatNumber(line.queued),
        formatNumber(line.running),
      ]),
    ),
    ...formatSection(
      'Expert groups',
      ['group', 'upstreams', 'linked', 'coordinator', 'map', 'imbalance', 'stragglers'],
      status.groups.map((line) => [
        line.name,
        `${line.upstreams}`,
        `${line.linked}`,
        ...coordinatorCells(nodes, line.name),
      ]),
    ),
    ...formatSection(
      'Organisations',
      ['organisation', 'answered', 'refused', 'gone'],
      status.organisations.map((line) => [
        line.name,
        `${line.answered}`,
        `${line.refused}`,
        `${line.gone}`,
      ]),
    ),
    ...formatSection(
      'Data centres',
      ['data centre', 'state'],
      status.dataCentres.map((line) => [line.name, line.state]),
    ),
  ].join('\n');
