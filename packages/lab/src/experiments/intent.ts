/** How long a change takes from accepted to in force at the last node, and what that costs. */

import { setTimeout as delay } from 'node:timers/promises';
import type { IntentKey } from '@plantaindrum/intent';
import type { IntentFleet, Spread } from './intent/fleet.js';
import { startIntentFleet } from './intent/fleet.js';
import type { NodeCounts } from './intent/node.js';
import type { Scenario } from './intent/scenarios.js';
import { scenarios } from './intent/scenarios.js';
import type { ExperimentOptions } from './table.js';

interface ChangeTimes {
  /** From the operator's command to its answer. */
  acceptedMs: number;
  /** From that answer to in force at the last node; undefined when not within the patience. */
  lastNodeMs: number | undefined;
}

interface Cell {
  nodes: number;
  spread: Spread;
  scenario: string;
  changes: number;
  accepted: number;
  acceptedMsMedian: number | undefined;
  lastNodeMsMedian: number | undefined;
  lastNodeMsMax: number | undefined;
  /** Changes that some node did not have within the patience. */
  late: number;
  linkBytesPerNodeSecond: number;
  logReadsPerNodeSecond: number;
  fetchesPerNodeChange: number;
  cpuPercentPerNode: number;
  rssMbMax: number;
}

const PATIENCE_MS = 8_000;
const POLL_MS = 20;

const median = (values: number[]): number | undefined => {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted[Math.floor(sorted.length / 2)];
  return middle === undefined ? undefined : Math.round(middle * 10) / 10;
};

const largest = (values: number[]): number | undefined =>
  values.length > 0 ? Math.round(Math.max(...values) * 10) / 10 : undefined;

/** Time at which `offset` was in force at a node; undefined when it is not by `deadline`. */
const inForceAt = async (
  fleet: IntentFleet,
  node: number,
  offset: number,
  deadline: number,
): Promise<number | undefined> => {
  while (performance.now() < deadline) {
    const { seen } = await fleet.seen(node);
    const at = seen[String(offset)];
    if (at !== undefined) return at;
    await delay(POLL_MS);
  }
  return undefined;
};

const outage = async (fleet: IntentFleet, ms: number): Promise<void> => {
  fleet.log.setFaults({ outage: 'all' });
  await delay(ms);
  fleet.log.setFaults({ outage: 'none', cutClients: [] });
};

const lastOf = (times: (number | undefined)[]): number | undefined =>
  times.includes(undefined) ? undefined : Math.max(...times.map((at) => at ?? 0));

const changeOnce = async (
  fleet: IntentFleet,
  scenario: Scenario,
  key: IntentKey,
): Promise<ChangeTimes | undefined> => {
  fleet.log.setFaults(scenario.faults(fleet.names));
  const value = { latestAnswerMs: 1_000 };
  const { outcome, begunAt, endedAt } = await fleet.submit(0, [{ key, base: -1, value }]);
  if (outcome.outcome !== 'accepted') return undefined;
  const over = scenario.outageAfterMs ? outage(fleet, scenario.outageAfterMs) : undefined;
  const deadline = performance.now() + PATIENCE_MS;
  const times = await Promise.all(
    fleet.names.map((_, node) => inForceAt(fleet, node, outcome.version, deadline)),
  );
  await over;
  const last = lastOf(times);
  return {
    acceptedMs: endedAt - begunAt,
    lastNodeMs: last === undefined ? undefined : Math.max(0, last - endedAt),
  };
};

const totalOf = (counts: NodeCounts[], name: keyof NodeCounts): number =>
  counts.reduce((sum, node) => sum + node[name], 0);

const measureCell = async (
  fleet: IntentFleet,
  spread: Spread,
  scenario: Scenario,
  changes: number,
): Promise<Cell> => {
  const nodes = fleet.names.length;
  const before = await fleet.counts();
  const begun = performance.now();
  const done: ChangeTimes[] = [];
  let tried = 0;
  for (let late = 0; tried < changes && late < 2;) {
    tried += 1;
    const times = await changeOnce(fleet, scenario, `classes/${spread}-${scenario.name}-${tried}`);
    if (times) done.push(times);
    if (times?.lastNodeMs === undefined) late += 1;
  }
  const seconds = (performance.now() - begun) / 1_000;
  const after = await fleet.counts();
  fleet.log.setFaults({ outage: 'none', delayMs: 0, cutClients: [] });
  const grown = (name: keyof NodeCounts): number => totalOf(after, name) - totalOf(before, name);
  const perNodeSecond = (total: number): number => Math.round((total / nodes / seconds) * 10) / 10;
  const lastNode = done.flatMap(({ lastNodeMs }) => (lastNodeMs === undefined ? [] : [lastNodeMs]));
  return {
    ...{ nodes, spread, scenario: scenario.name, changes: tried, accepted: done.length },
    acceptedMsMedian: median(done.map(({ acceptedMs }) => acceptedMs)),
    lastNodeMsMedian: median(lastNode),
    lastNodeMsMax: largest(lastNode),
    late: done.length - lastNode.length,
    linkBytesPerNodeSecond: perNodeSecond(grown('linkBytesSent') + grown('linkBytesReceived')),
    logReadsPerNodeSecond: perNodeSecond(grown('logReads')),
    fetchesPerNodeChange: Math.round((grown('fetches') / nodes / tried) * 100) / 100,
    cpuPercentPerNode: perNodeSecond(grown('cpuMs') / 10),
    rssMbMax: Math.round(Math.max(...after.map(({ rssMb }) => rssMb))),
  };
};

const describe = (cell: Cell): string =>
  [
    `${cell.nodes} nodes, ${cell.spread}, log ${cell.scenario}:`,
    `accepted after ${cell.acceptedMsMedian ?? '-'} ms,`,
    `in force at the last node ${cell.lastNodeMsMedian ?? '-'} ms later`,
    `(max ${cell.lastNodeMsMax ?? '-'}, late ${cell.late} of ${cell.changes}),`,
    `${cell.linkBytesPerNodeSecond} B/s, ${cell.fetchesPerNodeChange} fetches a change`,
  ].join(' ');

const measureFleet = async (
  nodes: number,
  spread: Spread,
  changes: number,
  print: (line: string) => void,
): Promise<Cell[]> => {
  const fleet = await startIntentFleet(nodes, spread);
  const cells: Cell[] = [];
  try {
    for (const scenario of scenarios) {
      const cell = await measureCell(fleet, spread, scenario, changes);
      print(describe(cell));
      cells.push(cell);
      // Nodes that were cut off come level before the next scenario begins.
      await delay(PATIENCE_MS / 4);
    }
  } finally {
    await fleet.close();
  }
  return cells;
};

/** Runs every scenario with every way of spreading, at several sizes. */
export const runIntent = async (options: ExperimentOptions): Promise<Record<string, unknown>> => {
  const sizes = options.quick ? [2, 4] : [2, 4, 8, 16, 32];
  const changes = options.quick ? 3 : 5;
  const cells: Cell[] = [];
  for (const nodes of sizes) {
    for (const spread of ['log-only', 'log-and-peers', 'few-readers'] as const) {
      cells.push(...(await measureFleet(nodes, spread, changes, options.print)));
    }
  }
  return { experiment: 'intent', patienceMs: PATIENCE_MS, cells };
};

export { runIntent as run };
