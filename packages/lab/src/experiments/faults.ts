/** Several failures together over real processes, by a seeded plan, judged by what must hold. */
import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@plantaindrum/common';
import { findViolations } from '@plantaindrum/stand-ins';
import { groupOracle } from '../harness/stand-ins.js';
import { round } from '../harness/statistics.js';
import type { FaultCall } from './faults/calls.js';
import { runCalls, tooLate, withoutEnd } from './faults/calls.js';
import { startChanges } from './faults/changes.js';
import { startBalancer, startFaultSite } from './faults/fault-site.js';
import type { FaultSite } from './faults/fault-site.js';
import { planFaults } from './faults/plan.js';
import { strikeAll } from './faults/strike.js';
import { executionsOf } from './overload-processes.js';
import type { ExperimentOptions } from './table.js';

const DURATION_MS = 28_000;
const QUICK_MS = 10_000;
const FIRST_MS = 1_500;
/** Calls go on for so long after the last fault began. */
const LAST_MS = 5_000;
/** Calls that upstreams still run when all callers have their answer may end. */
const SETTLE_MS = 3_000;

const shareAnswered = (calls: FaultCall[]): Record<string, number> => {
  const classes = new Set(calls.map(({ result }) => result.arrival.stream.class));
  return Object.fromEntries(
    [...classes].sort().map((name) => {
      const own = calls.filter(({ result }) => result.arrival.stream.class === name);
      const answered = own.filter(({ result }) => result.outcome === 'answered');
      return [name, round(answered.length / own.length, 4)];
    }),
  );
};

const countReasons = (calls: FaultCall[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  calls.forEach(({ result }) => {
    const name = result.outcome === 'answered' ? 'answered' : `${result.outcome}:${result.reason}`;
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
};

interface Spell {
  count: number;
  fromMs: number;
  toMs: number;
}

/** When and at which entry calls were not answered, by kind of work and reason. */
const spellsOf = (calls: FaultCall[], begunAt: number): Record<string, Spell> => {
  const spells: Record<string, Spell> = {};
  calls
    .filter(({ result }) => result.outcome !== 'answered')
    .forEach(({ result, target, endedAt }) => {
      const name = [result.arrival.stream.work.kind, result.reason, target].join(' ');
      const at = Math.round(endedAt - begunAt);
      const spell = spells[name] ?? { count: 0, fromMs: at, toMs: at };
      spell.count += 1;
      spell.toMs = Math.max(spell.toMs, at);
      spells[name] = spell;
    });
  return spells;
};

const mixedStepsOf = async ({ site }: FaultSite): Promise<number> => {
  const oracles = await Promise.all(
    site.groups.map(({ process }) => groupOracle(process.ready.control)),
  );
  return oracles.reduce((sum, oracle) => sum + oracle.mixedSteps, 0);
};

/** Runs one seed's plan and says which of the things that must hold did not. */
export const run = async ({ seed, quick, print }: ExperimentOptions) => {
  const durationMs = quick ? QUICK_MS : DURATION_MS;
  const plan = planFaults({ seed, fromMs: FIRST_MS, toMs: durationMs - LAST_MS });
  const target = await startFaultSite();
  const { site, spec } = target;
  const balancer = startBalancer(site);
  try {
    const changes = startChanges(site, createSeededRandom(seed + 1));
    const begunAt = performance.now();
    const striking = strikeAll(target, plan, print);
    const calls = await runCalls({ spec, seed, durationMs, pick: balancer.pick });
    const strikes = await striking;
    const intent = await changes.end();
    await delay(SETTLE_MS);
    const results = calls.map(({ result }) => result);
    const mayNotRepeat = (name: string): boolean =>
      spec.intent.classes[name]?.mayNotRepeat ?? false;
    return {
      experiment: 'faults',
      seed,
      faults: strikes.length,
      sent: calls.length,
      reasons: countReasons(calls),
      shareAnswered: shareAnswered(calls),
      notAnswered: spellsOf(calls, begunAt),
      violations: {
        ...findViolations(results, await executionsOf(site), mayNotRepeat),
        withoutEnd: withoutEnd(calls, strikes),
        tooLate: tooLate(calls, strikes),
        lackingRetryAfter: results.filter(({ lacksRetryAfter }) => lacksRetryAfter).length,
        mixedSteps: await mixedStepsOf(target),
      },
      intent,
    };
  } finally {
    balancer.stop();
    await target.close();
  }
};
