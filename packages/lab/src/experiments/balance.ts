import type { GroupLayout } from '@plantaindrum/experts';
import { measureAgreement } from './balance-agreement.js';
import type { Agreement, AgreementFault } from './balance-agreement.js';
import { measurePlanning } from './balance-planning.js';
import { createPolicy, policyNames } from './balance-policies.js';
import { simulate } from './balance-simulation.js';
import type { SimulationResult } from './balance-simulation.js';
import { createTrace, traceNames } from './balance-traces.js';
import type { ExperimentOptions } from './table.js';

const MINUTE_MS = 60_000;

/** A linear congruential generator: the same numbers in every run. */
const createSeededRandom = (seed: number): (() => number) => {
  let state = seed % 4_294_967_296;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296;
    return state / 4_294_967_296;
  };
};

const layoutOf = (rankCount: number, layers: number): GroupLayout => ({
  rankCount,
  layers,
  experts: 64,
  slots: Math.ceil((64 * 1.25) / rankCount) + (rankCount > 64 ? 1 : 0),
  bytesPerExpert: 50_000_000,
});

const line = (name: string, r: SimulationResult): string =>
  `  ${name.padEnd(24)} skew p50 ${r.skewP50}% p99 ${r.skewP99}%  step mean ${r.stepMean} p50 ${r.stepP50} p99 ` +
  `${r.stepP99}  ${r.changes} changes, ${r.experts} experts, ${r.gigabytes} GB, ` +
  `plan p50 ${r.planMsP50} ms max ${r.planMsMax} ms`;

/** Policies over seeded traces; the same figures in every run, but for planning times. */
const comparePolicies = async (
  { seed, quick, print }: ExperimentOptions,
  layers: number,
  lengthMs: number,
): Promise<Record<string, unknown>> => {
  const results: Record<string, unknown> = {};
  for (const rankCount of quick ? [16] : [16, 64, 256]) {
    const layout = layoutOf(rankCount, layers);
    for (const traceName of traceNames) {
      print(`${rankCount} ranks, ${traceName}`);
      const byPolicy: Record<string, SimulationResult> = {};
      for (const policyName of policyNames) {
        const shape = { ...layout, lengthMs };
        const trace = createTrace(traceName, shape, createSeededRandom(seed));
        const policy = createPolicy(policyName, layout, MINUTE_MS);
        const times = { lengthMs, planMs: MINUTE_MS };
        const random = createSeededRandom(seed + 1);
        const result = await simulate(layout, trace, policy, times, random);
        byPolicy[policyName] = result;
        print(line(policyName, result));
      }
      results[`${rankCount}/${traceName}`] = byPolicy;
    }
  }
  return results;
};

const agreements: readonly Agreement[] = ['unanimity', 'commit-record'];
const faults: readonly AgreementFault[] = ['none', 'log-slow', 'log-down', 'coordinator-dies'];

/** Both ways of agreeing on a change, over HTTP stand-ins and real time. */
const compareAgreements = async ({
  quick,
  print,
}: ExperimentOptions): Promise<Record<string, unknown>> => {
  const results: Record<string, unknown> = {};
  for (const rankCount of quick ? [4] : [4, 16, 32]) {
    for (const fault of faults) {
      for (const agreement of agreements) {
        const changes = fault === 'log-down' || quick ? 3 : 8;
        const result = await measureAgreement(agreement, fault, rankCount, changes);
        print(`${rankCount} agents, ${fault}, ${agreement}: ${JSON.stringify(result)}`);
        results[`${rankCount}/${fault}/${agreement}`] = result;
      }
    }
  }
  return results;
};

/** Compares ways of agreeing and policies of balancing, and measures planning. */
export const run = async (options: ExperimentOptions): Promise<Record<string, unknown>> => {
  const layers = options.quick ? 4 : 16;
  const lengthMs = (options.quick ? 12 : 60) * MINUTE_MS;
  const agreement = await compareAgreements(options);
  const planning = await measurePlanning(options.quick, createSeededRandom(options.seed));
  options.print(`planning: ${JSON.stringify(planning)}`);
  const policies = await comparePolicies(options, layers, lengthMs);
  const minutes = lengthMs / MINUTE_MS;
  return { seed: options.seed, layers, minutes, agreement, planning, policies };
};
