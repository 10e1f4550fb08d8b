/** A planned stop under load: what is cut, and how long it takes until nothing is in flight. */

import type { LoadCall } from '../harness/load.js';
import type { Site } from '../harness/site-types.js';
import {
  countOutcomes,
  LONGEST_DRAIN_MS,
  runUnderLoad,
  setDataCentre,
  STOPPED,
  untilQuiet,
} from './drain-site.js';
import type { ExperimentOptions } from './table.js';

interface DrainFigures {
  what: string;
  sent: number;
  outcomes: Record<string, number>;
  /** Ended without a whole answer or a refusal that says that it did not run. */
  cut: number;
  /** From the order to nothing in flight (a data centre) or the end of the process (one VM). */
  drainMs: number;
  exitCode: number | null | undefined;
}

const AFTER_MS = 5_000;

const isCut = ({ result }: LoadCall): boolean =>
  result.outcome !== 'answered' && result.outcome !== 'not-run';

interface Drained {
  drainMs: number;
  exitCode?: number | null;
}

const stopDataCentre = async (site: Site): Promise<Drained> => {
  await setDataCentre(site, STOPPED, 'stopped');
  return { drainMs: await untilQuiet(site) };
};

const stopAgent = async (site: Site): Promise<Drained> => {
  const begun = performance.now();
  const exit = await site.upstream(`lot-writer-${STOPPED}-1`).agent.stop(LONGEST_DRAIN_MS);
  return { drainMs: performance.now() - begun, exitCode: exit.code };
};

const stopEntry = async (site: Site): Promise<Drained> => {
  const begun = performance.now();
  const exit = await site.entry(0).process.stop(LONGEST_DRAIN_MS);
  return { drainMs: performance.now() - begun, exitCode: exit.code };
};

const measure = async (
  what: string,
  stop: (site: Site) => Promise<Drained>,
  options: ExperimentOptions,
): Promise<DrainFigures> => {
  const { seed, quick } = options;
  const run = { what, seed, quick, afterMs: AFTER_MS, act: stop };
  const { acted, calls } = await runUnderLoad(run);
  const figures = {
    what,
    sent: calls.length,
    outcomes: countOutcomes(calls),
    cut: calls.filter(isCut).length,
    drainMs: Math.round(acted.drainMs),
    exitCode: acted.exitCode,
  };
  options.print(
    `${what}: ${figures.sent} calls, ${figures.cut} cut, drained after ${figures.drainMs} ms, ${JSON.stringify(figures.outcomes)}`,
  );
  return figures;
};

/** Stops a data centre, one upstream's VM and one entry, each under load. */
export const runDrain = async (options: ExperimentOptions): Promise<Record<string, unknown>> => ({
  experiment: 'drain',
  runs: [
    await measure('data-centre-stop', stopDataCentre, options),
    await measure('upstream-vm-sigterm', stopAgent, options),
    await measure('entry-vm-sigterm', stopEntry, options),
  ],
});

export { runDrain as run };
