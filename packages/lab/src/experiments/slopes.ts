/** How the cost of control grows with the size of a fleet, each as a line with its fit. */

import { createSeededRandom } from '@plantaindrum/common';
import type { ExperimentOptions } from './table.js';
import { claimLines } from './slopes/claims.js';
import type { Line } from './slopes/fit.js';
import { heartbeatLines } from './slopes/heartbeats.js';
import { intentLines } from './slopes/intent.js';
import { nodeLines } from './slopes/node.js';
import { planningLines } from './slopes/planning.js';
import { queueLines } from './slopes/queue.js';
import { routingLines } from './slopes/routing.js';
import { tokenLines } from './slopes/tokens.js';

/** Sizes at which each line is measured. */
interface Sizes {
  peers: number[];
  windowMs: number;
  rounds: number;
  organisations: number[];
  changes: number[];
  depths: number[];
  waitingOrganisations: number[];
  earlierCalls: number[];
  callsAtOnce: number[];
  upstreams: number[];
  ranks: number[];
  tokens: number[];
  vms: number[];
}

const FULL: Sizes = {
  peers: [2, 4, 8, 16, 32, 128, 256],
  windowMs: 2_000,
  rounds: 3,
  organisations: [1_000, 5_000, 11_000],
  changes: [1, 4, 16, 64],
  depths: [2, 8, 32, 128, 512, 1_024],
  waitingOrganisations: [2, 8, 32, 128, 512],
  earlierCalls: [500, 2_000, 8_000],
  callsAtOnce: [1, 2, 4, 8, 16, 32],
  upstreams: [500, 2_000, 6_000, 12_000],
  ranks: [4, 16, 32, 64, 128, 256],
  tokens: [10_000, 40_000, 160_000],
  vms: [32, 500, 2_000, 12_430],
};

const QUICK: Sizes = {
  peers: [2, 4],
  windowMs: 100,
  rounds: 1,
  organisations: [100, 200],
  changes: [1, 2],
  depths: [2, 4],
  waitingOrganisations: [2, 4],
  earlierCalls: [5, 10],
  callsAtOnce: [1, 2],
  upstreams: [50, 100],
  ranks: [4, 8],
  tokens: [10, 20],
  vms: [10, 20],
};

const format = (name: string, { slope, intercept, r2, unit, per }: Line): string =>
  `${name.padEnd(32)} ${intercept} + ${slope} n ${unit}; n = ${per}; r2 = ${r2}`;

/** Measures every line. */
export const run = async ({ seed, quick, print }: ExperimentOptions) => {
  const random = createSeededRandom(seed);
  const sizes = quick ? QUICK : FULL;
  const lines: Record<string, Line> = {
    ...(await heartbeatLines(sizes.peers, sizes.windowMs, sizes.rounds)),
    ...(await intentLines(sizes.organisations, sizes.changes)),
    ...(await queueLines(sizes.depths, sizes.waitingOrganisations, random)),
    ...(await claimLines(sizes.earlierCalls, sizes.callsAtOnce)),
    ...(await routingLines(sizes.upstreams, random)),
    ...(await planningLines(sizes.ranks, random)),
    ...(await tokenLines(sizes.tokens)),
    ...(await nodeLines(sizes.organisations, sizes.vms)),
  };
  Object.entries(lines).forEach(([name, line]) => print(format(name, line)));
  return { experiment: 'slopes', seed, node: process.version, lines };
};
