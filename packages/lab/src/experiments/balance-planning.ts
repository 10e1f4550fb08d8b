import type { Random } from '@plantaindrum/common';
import { evenLayers, limitsFor, planMap } from '@plantaindrum/experts';
import { quantile } from './balance-simulation.js';
import { createTrace } from './balance-traces.js';

/** Share of a core that control may take. */
const BUDGET = 0.034;
const PLAN_MS = 60_000;
const LIFE_MS = 600_000;

/** Planning of one size from an even map under a load that it has never seen: the longest plan. */
export interface PlanningResult {
  ranks: number;
  layers: number;
  msP50: number;
  msMax: number;
  /** Longest time between two pauses of one plan. */
  sliceMsMax: number;
  /** Share of a core at one such plan in each interval, over the budget. */
  budgetShare: number;
}

const measureSize = async (
  rankCount: number,
  layers: number,
  runs: number,
  random: Random,
): Promise<PlanningResult> => {
  const slots = Math.ceil(80 / rankCount) + (rankCount > 64 ? 1 : 0);
  const layout = { rankCount, layers, experts: 64, slots, bytesPerExpert: 1 };
  const times: number[] = [];
  const slices = { ms: 0, at: 0 };
  const pause = async (): Promise<void> => {
    slices.ms = Math.max(slices.ms, performance.now() - slices.at);
    slices.at = performance.now();
  };
  for (let run = 0; run < runs; run += 1) {
    const trace = createTrace('slow-drift', { ...layout, lengthMs: PLAN_MS }, random);
    const load = { popularity: trace.popularity(0), speeds: trace.speeds(0), fixedShare: 0.4 };
    const startedAt = performance.now();
    slices.at = startedAt;
    const limits = limitsFor('skew', LIFE_MS, rankCount);
    await planMap(evenLayers(layout), layout, load, limits, pause);
    times.push(performance.now() - startedAt);
  }
  const msMax = Math.max(...times);
  return {
    ranks: rankCount,
    layers,
    msP50: Math.round(quantile(times, 0.5)),
    msMax: Math.round(msMax),
    sliceMsMax: Math.round(slices.ms),
    budgetShare: Number((msMax / PLAN_MS / BUDGET).toFixed(2)),
  };
};

/** Measures planning against the share of a core that control may take. */
export const measurePlanning = async (
  quick: boolean,
  random: Random,
): Promise<PlanningResult[]> => {
  const results: PlanningResult[] = [];
  for (const ranks of quick ? [16] : [16, 64, 256]) {
    results.push(await measureSize(ranks, 60, quick ? 1 : 5, random));
  }
  return results;
};
