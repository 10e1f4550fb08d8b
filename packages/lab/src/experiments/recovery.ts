/** Death of an upstream's VM under load: when the last request goes there, and what is lost. */

import { setTimeout as delay } from 'node:timers/promises';
import type { Load, LoadCall } from '../harness/load.js';
import type { Site } from '../harness/site-types.js';
import { countOutcomes, dispatchedTo, runUnderLoad, STOPPED } from './drain-site.js';
import type { ExperimentOptions } from './table.js';

interface RecoveryFigures {
  what: string;
  sent: number;
  outcomes: Record<string, number>;
  /** Ended with no whole answer, no refusal and no statement: must be 0. */
  lost: number;
  refused: number;
  unknown: number;
  /** From the failure to the last request dispatched to that upstream, seen every 25 ms. */
  lastDispatchMs: number;
  /** Requests dispatched there after the failure. */
  dispatchedAfter: number;
}

/** The upstream whose dispatches are watched. */
const WATCHED = `lot-writer-${STOPPED}-1`;
const AFTER_MS = 9_000;
const POLL_MS = 25;

interface Watch {
  lastMs: number;
  dispatched: number;
}

/** Watches the dispatches to one upstream until `done`. */
const watchDispatches = async (
  site: Site,
  upstream: string,
  done: Promise<unknown>,
): Promise<Watch> => {
  let running = true;
  void done.then(() => {
    running = false;
  });
  const begun = performance.now();
  const first = await dispatchedTo(site, upstream);
  let count = first;
  let lastMs = 0;
  while (running) {
    const now = await dispatchedTo(site, upstream);
    if (now > count) lastMs = performance.now() - begun;
    count = now;
    await delay(POLL_MS);
  }
  return { lastMs, dispatched: count - first };
};

const figuresOf = (
  what: string,
  calls: LoadCall[],
  lastMs: number,
  dispatchedAfter: number,
): RecoveryFigures => {
  const count = (...outcomes: string[]): number =>
    calls.filter(({ result }) => outcomes.includes(result.outcome)).length;
  return {
    what,
    sent: calls.length,
    outcomes: countOutcomes(calls),
    lost: count('broken', 'error'),
    refused: count('not-run'),
    unknown: count('unknown'),
    lastDispatchMs: Math.round(lastMs),
    dispatchedAfter,
  };
};

const measure = async (
  what: string,
  fail: (site: Site) => Promise<unknown> | void,
  options: ExperimentOptions,
): Promise<RecoveryFigures> => {
  const { seed, quick } = options;
  const act = async (site: Site, load: Load): Promise<Watch> => {
    await fail(site);
    return watchDispatches(site, WATCHED, load.finished);
  };
  const { acted, calls } = await runUnderLoad({ what, seed, quick, afterMs: AFTER_MS, act });
  const figures = figuresOf(what, calls, acted.lastMs, acted.dispatched);
  options.print(
    `${what}: last dispatch ${figures.lastDispatchMs} ms after the failure (${figures.dispatchedAfter} after it), lost ${figures.lost}, ${JSON.stringify(figures.outcomes)}`,
  );
  return figures;
};

const signalAgent =
  (signal: NodeJS.Signals) =>
  (site: Site): void =>
    site.upstream(WATCHED).agent.signal(signal);

/** Kills the entry and every agent of one data centre; calls open at its entry break off with it. */
const killDataCentre = (site: Site): Promise<unknown> => {
  const entries = site.entries.filter(({ dataCentre }) => dataCentre === STOPPED);
  const upstreams = site.upstreams.filter(({ dataCentre }) => dataCentre === STOPPED);
  const processes = [...entries.map(({ process }) => process), ...upstreams.map((u) => u.agent)];
  return Promise.all(processes.map((child) => child.kill()));
};

/** Kills, and freezes, an agent, then kills a data centre; the list shows all as live throughout. */
export const runRecovery = async (
  options: ExperimentOptions,
): Promise<Record<string, unknown>> => ({
  experiment: 'recovery',
  runs: [
    await measure('agent-killed', signalAgent('SIGKILL'), options),
    await measure('agent-frozen', signalAgent('SIGSTOP'), options),
    await measure('data-centre-killed', killDataCentre, options),
  ],
});

export { runRecovery as run };
