/** Admission under heavy load: shared by the entries by priority, against today's and one ideal entry. */

import { playLoad } from './hard-load/play.js';
import type {
  AdmissionMode,
  CallerClass,
  Episode,
  LoadFigures,
  LoadSpec,
} from './hard-load/types.js';
import type { ExperimentOptions } from './table.js';

/** Classes of deployment A, with a quarter of their rates: the emulated group has a quarter of its slots. */
const classes: readonly CallerClass[] = [
  {
    name: 'appeal-draft',
    priority: 0,
    targetMs: 503,
    value: 3.1,
    lateFraction: 0.3,
    perSecond: 14,
  },
  {
    ...{ name: 'land-petition', priority: 1, targetMs: 503 },
    ...{ value: 1.6, lateFraction: 0.41, perSecond: 19 },
  },
  {
    ...{ name: 'night-summary', priority: 2, targetMs: 1_003 },
    ...{ value: 0.8, lateFraction: 0.3, perSecond: 6 },
  },
];

const LENGTH_MS = 14_000;
const QUICK_MS = 5_000;

type Pattern = [name: string, episodes: readonly Episode[]];

const period = { fromMs: 3_000, toMs: 9_000 };
const patterns: readonly Pattern[] = [
  ['usual traffic', []],
  ['least urgent x 2.4', [{ ...period, factors: { 'night-summary': 2.4 } }]],
  ['most urgent x 1.8', [{ ...period, toMs: 6_000, factors: { 'appeal-draft': 1.8 } }]],
  [
    'both in turn',
    [
      { ...period, factors: { 'night-summary': 2.4 } },
      { fromMs: 9_000, toMs: 12_000, factors: { 'appeal-draft': 1.8 } },
    ],
  ],
  ['a flooding organisation', [{ ...period, floodFactor: 6 }]],
  ['long prompts', [{ ...period, promptFactor: 6 }]],
  [
    'a returning crowd',
    [
      {
        ...period,
        toMs: 3_600,
        factors: { 'appeal-draft': 4, 'land-petition': 4, 'night-summary': 4 },
      },
    ],
  ],
  ['half of the upstreams gone', [{ ...period, evacuated: 0.5 }]],
];

type Setting = [name: string, mode: AdmissionMode, entries: number];

const settings: readonly Setting[] = [
  ['today, 6 entries', 'today', 6],
  ['today, 15 entries', 'today', 15],
  ['shared, 6 entries', 'shared', 6],
  ['shared, 15 entries', 'shared', 15],
  ['one ideal entry', 'shared', 1],
];

const line = (name: string, f: LoadFigures): string => {
  const inTime = Object.values(f.inTimeByClass)
    .map((n) => n.toFixed(2))
    .join(' ');
  return (
    `  ${name.padEnd(20)} worth ${f.worth.toFixed(3)}  worst 2 s ${f.worstWindow.toFixed(3)}  in time ${inTime}  ` +
    `Jain ${f.jain.toFixed(3)}  refused ${f.refused}  again ${f.refusedAgain}  late ${f.lateFirst}+${f.latePause}  wait ${f.meanWaitMs.toFixed(0)}  pass ${f.meanPassMs.toFixed(0)} ms`
  );
};

/** Plays each pattern with each setting. */
export const run = async (options: ExperimentOptions): Promise<Record<string, unknown>> => {
  const { seed, quick, print } = options;
  const figures: Record<string, LoadFigures> = {};
  for (const [pattern, episodes] of quick ? patterns.slice(0, 1) : patterns) {
    print(pattern);
    for (const [name, mode, entries] of settings) {
      const lengthMs = quick ? QUICK_MS : LENGTH_MS;
      const spec: LoadSpec = { seed, entries, mode, lengthMs, classes, episodes };
      const played = await playLoad(spec);
      figures[`${pattern}/${name}`] = played;
      print(line(name, played));
    }
  }
  return { experiment: 'hard-load', figures };
};
