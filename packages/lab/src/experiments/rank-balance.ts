/** The change of map on an emulated group: what each word of the operator brings and costs. */

import { emulateDay } from '../emulator/day.js';
import type { DayFigures, DaySpec } from '../emulator/day-types.js';
import { largeGroupDay, smallGroupDay } from '../emulator/sites.js';
import type { ExperimentOptions } from './table.js';

const QUICK_MS = 6_000;

const line = (name: string, f: DayFigures): string =>
  `  ${name.padEnd(34)} worth ${f.worth.toFixed(3)}  skew ${f.meanSkew.toFixed(2)}  ` +
  `pass ${f.meanPassMs.toFixed(1)} ms  shift to map ${f.shiftToMapMedianMs}/${f.shiftToMapP95Ms} ms  ` +
  `${f.copies} copies  ${f.refused} refused  ${f.mixedPasses} mixed`;

type Variant = [name: string, change: Partial<DaySpec>];

const variants: readonly Variant[] = [
  ['map left as it is', { weighs: undefined }],
  ['skew', { weighs: 'skew' }],
  ['rebalancing-cost', { weighs: 'rebalancing-cost' }],
  ['skew, 2 in 100 orders late', { weighs: 'skew', lateOrders: 0.02 }],
  [
    'skew, one rank at a third of its pace',
    { weighs: 'skew', stragglers: [{ atMs: 3_000, rank: 5, factor: 3, forMs: 8_000 }] },
  ],
];

/** Plays the same day with each variant, on a small and a large group. */
export const run = async (options: ExperimentOptions): Promise<Record<string, unknown>> => {
  const { seed, quick, print } = options;
  const days = quick ? { small: smallGroupDay } : { small: smallGroupDay, large: largeGroupDay };
  const figures: Record<string, DayFigures> = {};
  for (const [group, day] of Object.entries(days)) {
    print(`${group} group, ${day.ranks} ranks`);
    for (const [name, change] of variants) {
      const lengthMs = quick ? QUICK_MS : day.lengthMs;
      const played = await emulateDay({ ...day, ...change, lengthMs, seed });
      figures[`${group}/${name}`] = played;
      print(line(name, played));
    }
  }
  return { experiment: 'rank-balance', figures };
};
