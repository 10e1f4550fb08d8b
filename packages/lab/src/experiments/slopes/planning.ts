/** What a plan of an expert group costs, by ranks; 64 experts a layer. */

import { evenLayers, planMap } from '@plantaindrum/experts';
import type { GroupLayout } from '@plantaindrum/experts';
import type { Random } from '@plantaindrum/common';
import { encodeFrame } from '@plantaindrum/link';
import { fitLine } from './fit.js';
import type { Line } from './fit.js';
import { atSizes, cpuMicros, median } from './measure.js';

const EXPERTS = 64;
const LAYERS = 16;
const RUNS = 3;
const MICROS_PER_MS = 1_000;

const layoutOf = (rankCount: number): GroupLayout => ({
  rankCount,
  layers: LAYERS,
  experts: EXPERTS,
  // At least two replicas of every expert fit into the group.
  slots: Math.max(2, Math.ceil((2 * EXPERTS) / rankCount)),
  bytesPerExpert: 50_000_000,
});

/** Popularity by Zipf's law, in another order in each layer. */
const skewedPopularity = (random: Random): number[][] =>
  Array.from({ length: LAYERS }, () => {
    const weights = Array.from({ length: EXPERTS }, (_, rank) => 1 / (rank + 1));
    const shuffled = weights
      .map((weight) => ({ weight, at: random() }))
      .sort((a, b) => a.at - b.at)
      .map(({ weight }) => weight);
    const sum = shuffled.reduce((total, weight) => total + weight, 0);
    return shuffled.map((weight) => weight / sum);
  });

const planOnce = async (rankCount: number, random: Random) => {
  const layout = layoutOf(rankCount);
  const layers = evenLayers(layout);
  const load = {
    popularity: skewedPopularity(random),
    speeds: new Array<number>(rankCount).fill(1),
    fixedShare: 0.3,
  };
  const limits = { maxMoves: 4 * rankCount, targetImbalance: 1.02, minGainPerMove: 0 };
  const before = cpuMicros();
  const plan = await planMap(layers, layout, load, limits, async () => {});
  const map = { version: 1, layers: plan.layers };
  return {
    cpu: (cpuMicros() - before) / MICROS_PER_MS,
    moves: plan.moves.length,
    mapBytes: encodeFrame({ t: 'call', seq: 1, method: 'experts.prepare', args: { map } }).length,
  };
};

const measure = async (rankCount: number, random: Random) => {
  const runs: Awaited<ReturnType<typeof planOnce>>[] = [];
  for (let run = 0; run < RUNS; run += 1) runs.push(await planOnce(rankCount, random));
  return {
    cpu: median(runs.map(({ cpu }) => cpu)),
    moves: median(runs.map(({ moves }) => moves)),
    mapBytes: median(runs.map(({ mapBytes }) => mapBytes)),
  };
};

/** Lines over ranks: the first plan of a group that starts from an even map, the largest of all. */
export const planningLines = async (
  rankCounts: number[],
  random: Random,
): Promise<Record<string, Line>> => {
  const found = await atSizes(rankCounts, (n) => measure(n, random));
  const line = (unit: string, key: 'cpu' | 'moves' | 'mapBytes'): Line =>
    fitLine(
      'ranks',
      unit,
      found.map((point) => ({ n: point.n, y: point[key] })),
    );
  return {
    'plan-cpu': line('ms of processor time a plan from an even map', 'cpu'),
    'plan-moves': line('experts moved by that plan', 'moves'),
    'map-bytes': line('bytes of a map on a link', 'mapBytes'),
  };
};
