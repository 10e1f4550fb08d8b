import type { NodeReport } from '../../core/entry/node-reports.js';
import type { EntryStatus, UpstreamLine } from '../../core/status/entry-status.js';

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

const stateOf = ({ linked, leaving, health }: UpstreamLine): string => {
  if (leaving) return 'leaving';
  return linked ? health : 'no link';
};

const readiness = (ready: boolean, reason: string | undefined): string =>
  ready ? 'ready' : `not ready${reason === undefined ? '' : `: ${reason}`}`;

const intentLine = ({ offset, freshness }: EntryStatus['intent']): string => {
  const why = freshness.reason === undefined ? '' : `: ${freshness.reason}`;
  return `intent at version ${offset} (${freshness.state}${why})`;
};

const headLines = ({ node, ready, reason, inFlight, intent }: EntryStatus): string[] => [
  `${node.name} (${node.role}, ${node.dataCentre}, ${node.region}): ${readiness(ready, reason)}`,
  `${intentLine(intent)}; ${inFlight} in flight`,
];

/** What an agent of an expert group tells; only a coordinator that holds the claim sees the map. */
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

const groupReports = (nodes: NodeReport[], name: string): NodeReport[] =>
  nodes.filter(({ group }) => (group as GroupReport | undefined)?.group === name);

const coordinatorCells = (nodes: NodeReport[], name: string): string[] => {
  const members = groupReports(nodes, name);
  const found = members.find(({ group }) => (group as GroupReport).coordinator?.role === 'acting');
  const seen = (found?.group as GroupReport | undefined)?.coordinator;
  if (!found || !seen) return ['-', '-', '-', '-'];
  const stragglers = (seen.stragglers ?? []).map(({ rank }) => `rank ${rank}`).join(', ');
  return [
    found.node,
    numberOf(seen.version),
    seen.imbalance === undefined ? '-' : seen.imbalance.toFixed(2),
    stragglers || 'none',
  ];
};

const nodeRow = ({ node, role, dataCentre, inFlight, intentOffset }: NodeReport): string[] => [
  node,
  role,
  dataCentre,
  inFlight === undefined ? 'no answer' : `${inFlight}`,
  numberOf(intentOffset),
];

/** What `status` uses of an agent's document. */
export interface AgentReport {
  node: { name: string; dataCentre: string; region: string; role: 'agent' };
  ready: boolean;
  inFlight: number;
  load: { queued: number; running: number; drainPerSecond: number; leaving: boolean };
  intent: EntryStatus['intent'];
  group?: unknown;
}

/** The text of `plantaindrum status` for an agent. */
export const formatAgent = ({ node, ready, load, intent, group }: AgentReport): string =>
  [
    `${node.name} (${node.role}, ${node.dataCentre}, ${node.region}): ${readiness(ready, undefined)}`,
    `${intentLine(intent)}; ${load.queued} queued, ${load.running} running, ${load.drainPerSecond.toFixed(1)} served a second${load.leaving ? ', leaving' : ''}`,
    ...(group === undefined ? [] : [`group: ${JSON.stringify(group)}`]),
  ].join('\n');

/** The text of `plantaindrum status` for an entry. */
export const formatStatus = (status: EntryStatus, nodes: NodeReport[]): string =>
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
    ...section('Nodes', ['node', 'role', 'data centre', 'in flight', 'intent'], nodes.map(nodeRow)),
    ...section(
      'Upstreams',
      ['upstream', 'data centre', 'serves', 'state', 'outstanding', 'queued', 'running'],
      status.upstreams.map((line) => [
        line.name,
        line.dataCentre,
        line.serves,
        stateOf(line),
        `${line.outstanding}`,
        numberOf(line.queued),
        numberOf(line.running),
      ]),
    ),
    ...section(
      'Expert groups',
      ['group', 'upstreams', 'linked', 'coordinator', 'map', 'imbalance', 'stragglers'],
      status.groups.map((line) => [
        line.name,
        `${line.upstreams}`,
        `${line.linked}`,
        ...coordinatorCells(nodes, line.name),
      ]),
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
