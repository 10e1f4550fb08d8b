/**
 * Requests with one part in their prompts crash each upstream that begins an answer on them, and no two of these
 * requests are alike: how many reach upstreams, and how sound requests that share their other parts fare.
 */

import { measureCost } from './crashing-part/cost.js';
import type { CaseFigures } from './crashing-part/figures.js';
import { playScenario } from './crashing-part/play.js';
import { SCENARIOS } from './crashing-part/scenarios.js';
import type { ExperimentOptions } from './table.js';

/** Figures of one scenario. */
export interface CrashingPartCase extends CaseFigures {
  scenario: string;
}

/** Scenarios played at the same time: each has a dozen processes. */
const PARALLEL = 3;
const COUNT_MS = 5_000;
const QUICK_COUNT_MS = 2_000;
/** Scenarios of the short run. */
const QUICK: ReadonlySet<string> = new Set(['nothing', 'entries-killed', 'mass-crash', 'group']);

const worst = (cases: readonly CrashingPartCase[]): CaseFigures => {
  const harmed = cases.filter(({ scenario }) => scenario !== 'mass-crash');
  const ratio = ({ soundBegunBefore, soundBegunDuring }: CaseFigures): number =>
    soundBegunDuring / soundBegunBefore;
  const leastBegun = [...cases].sort((a, b) => ratio(a) - ratio(b))[0];
  return {
    entries: Math.min(...cases.map(({ entries }) => entries)),
    upstreamsCrashed: Math.min(...harmed.map(({ upstreamsCrashed }) => upstreamsCrashed)),
    sentAfterBound: Math.max(...cases.map(({ sentAfterBound }) => sentAfterBound)),
    soundBegunBefore: leastBegun?.soundBegunBefore ?? 0,
    soundBegunDuring: leastBegun?.soundBegunDuring ?? 0,
    soundDuring: Math.min(...cases.map(({ soundDuring }) => soundDuring)),
    soundFailedDuring: leastBegun?.soundFailedDuring ?? {},
    soundRefused: Math.max(...cases.map(({ soundRefused }) => soundRefused)),
    knownMs: cases.find(({ scenario }) => scenario === 'nothing')?.knownMs,
  };
};

/** Plays the scenarios; the figures beside the list of cases are the worst ones. */
export const run = async ({
  seed,
  quick,
  print,
}: ExperimentOptions): Promise<Record<string, unknown>> => {
  const scenarios = SCENARIOS.filter(({ name }) => !quick || QUICK.has(name));
  const cases: CrashingPartCase[] = [];
  const waiting = scenarios.map((scenario, block) => ({ scenario, block }));
  const playNext = async (): Promise<void> => {
    const next = waiting.shift();
    if (!next) return;
    const countMs = quick ? QUICK_COUNT_MS : COUNT_MS;
    const figures = await playScenario(next.scenario, { seed, block: next.block, countMs });
    cases.push({ scenario: next.scenario.name, ...figures });
    const { upstreamsCrashed, sentAfterBound, soundRefused } = figures;
    const begun = `${figures.soundBegunBefore.toFixed(2)} -> ${figures.soundBegunDuring.toFixed(2)}`;
    print(
      `${next.scenario.name.padEnd(16)} crashed ${upstreamsCrashed}, sent after the bound ` +
        `${sentAfterBound}, sound begun ${begun}, sound refused ${soundRefused}`,
    );
    await playNext();
  };
  await Promise.all(Array.from({ length: PARALLEL }, playNext));
  const cost = await measureCost();
  print(`cost: ${JSON.stringify(cost)}`);
  return { ...worst(cases), cost, cases };
};
