/** How many streams to have in flight: a fixed cap, the measured pace, or a budget of tokens. */

import { emulateDay } from '../emulator/day.js';
import type {
  AdmissionPolicy,
  AdmissionTools,
  DayFigures,
  DaySpec,
} from '../emulator/day-types.js';
import { fixedCap, adaptiveLimit, tokenBudget } from '../emulator/policies.js';
import { smallGroupDay } from '../emulator/sites.js';
import type { ExperimentOptions } from './table.js';

const QUICK_MS = 6_000;

type Policy = [name: string, policy: (tools: AdmissionTools) => AdmissionPolicy];

const policies: readonly Policy[] = [
  ['half of the slots', fixedCap(0.5)],
  ['three quarters of the slots', fixedCap(0.75)],
  ['all slots', fixedCap(1)],
  ['the measured pace', adaptiveLimit],
  ['1,200 tokens a slot', tokenBudget(1_200)],
  ['2,400 tokens a slot', tokenBudget(2_400)],
];

type Day = [name: string, change: Partial<DaySpec>];

const days: readonly Day[] = [
  ['usual traffic', {}],
  ['high load', { perSecond: 70 }],
  ['a burst of twice the traffic', { burst: { fromMs: 6_000, toMs: 12_000, factor: 2 } }],
  [
    'a rank at a third of its pace',
    { stragglers: [{ atMs: 6_000, rank: 3, factor: 3, forMs: 8_000 }] },
  ],
];

const line = (name: string, f: DayFigures): string =>
  `  ${name.padEnd(28)} worth ${f.worth.toFixed(3)}  on time ${f.onTime}  late ${f.late} (${f.lateFirst} from the first event)  ` +
  `refused ${f.refused}  pass ${f.meanPassMs.toFixed(1)} ms`;

/** Plays each day with each policy. */
export const run = async (options: ExperimentOptions): Promise<Record<string, unknown>> => {
  const { seed, quick, print } = options;
  const figures: Record<string, DayFigures> = {};
  for (const [dayName, change] of quick ? days.slice(0, 1) : days) {
    print(dayName);
    for (const [name, policy] of policies) {
      const lengthMs = quick ? QUICK_MS : smallGroupDay.lengthMs;
      const played = await emulateDay({ ...smallGroupDay, ...change, policy, lengthMs, seed });
      figures[`${dayName}/${name}`] = played;
      print(line(name, played));
    }
  }
  return { experiment: 'admission', figures };
};
