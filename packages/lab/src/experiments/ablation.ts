/** What each mechanism is worth: days on an emulated group, each with one of them switched off. */

import { emulateDay } from '../emulator/day.js';
import type { DayFigures, DaySpec } from '../emulator/day-types.js';
import { fixedCap } from '../emulator/policies.js';
import { denseGroupDay } from '../emulator/sites.js';
import type { ExperimentOptions } from './table.js';

const QUICK_MS = 6_000;
/** Days with different luck for each figure; its spread is shown. */
const SEEDS = 3;

type Named = [name: string, change: Partial<DaySpec>];

const mechanisms: readonly Named[] = [
  ['all of them', {}],
  ['without change of map', { weighs: undefined }],
  ['without leaving slow ranks', { keepsSlowRanks: true }],
  ['without a limit on streams', { policy: fixedCap(1) }],
  ['the word rebalancing-cost', { weighs: 'rebalancing-cost' }],
];

const slowFor = (factor: number, ...ranks: number[]): Partial<DaySpec> => ({
  stragglers: ranks.map((rank) => ({ atMs: 5_000, rank, factor, forMs: 8_000 })),
});

const flapping: Partial<DaySpec> = {
  stragglers: [4_000, 7_000, 10_000, 13_000].map((atMs) => ({
    ...{ atMs, rank: 3, factor: 6, forMs: 1_500 },
  })),
};

const unreachable = { fromMs: 7_000, toMs: 13_000 };

const days: readonly Named[] = [
  ['usual traffic', {}],
  ['high load, shifts every 2 s', { perSecond: 46, shiftEveryMs: 2_000 }],
  ['a burst of 1.7 times', { burst: { fromMs: 6_000, toMs: 12_000, factor: 1.7 } }],
  ['a rank 9 times slower', slowFor(9, 3)],
  ['two ranks 1.6 times slower', slowFor(1.6, 3, 7)],
  ['a rank that flaps', flapping],
  ['a rank that can not be reached, at high load', { perSecond: 48, unreachable }],
];

const mean = (values: readonly number[]): number =>
  values.reduce((sum, n) => sum + n, 0) / Math.max(1, values.length);

const line = (name: string, played: readonly DayFigures[]): string => {
  const worths = played.map(({ worth }) => worth);
  const spread = (Math.max(...worths) - Math.min(...worths)) / 2;
  const of = (pick: (figures: DayFigures) => number): number => mean(played.map(pick));
  return (
    `  ${name.padEnd(32)} worth ${mean(worths).toFixed(3)} ± ${spread.toFixed(3)}  ` +
    `late ${of(({ late }) => late).toFixed(0)}  refused ${of(({ refused }) => refused).toFixed(0)}  ` +
    `skew ${of(({ meanSkew }) => meanSkew).toFixed(2)}  pass ${of((f) => f.meanPassMs).toFixed(1)} ms  ` +
    `${of(({ copies }) => copies).toFixed(0)} copies`
  );
};

/** Plays each day with each mechanism off, with several seeds. */
export const run = async (options: ExperimentOptions): Promise<Record<string, unknown>> => {
  const { seed, quick, print } = options;
  const lengthMs = quick ? QUICK_MS : denseGroupDay.lengthMs;
  const figures: Record<string, DayFigures[]> = {};
  for (const [dayName, day] of quick ? days.slice(0, 1) : days) {
    print(dayName);
    for (const [name, change] of mechanisms) {
      const played: DayFigures[] = [];
      for (let n = 0; n < (quick ? 1 : SEEDS); n += 1) {
        played.push(
          await emulateDay({ ...denseGroupDay, lengthMs, ...day, ...change, seed: seed + n }),
        );
      }
      figures[`${dayName}/${name}`] = played;
      print(line(name, played));
    }
  }
  return { experiment: 'ablation', figures };
};
