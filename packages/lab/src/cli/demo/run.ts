import { createSeededRandom } from '@plantaindrum/common';
import type { Load } from '../../harness/load.js';
import { startLoad } from '../../harness/load.js';
import { startSite } from '../../harness/site.js';
import type { Site } from '../../harness/site-types.js';
import { liveSaleTraffic, releaseTraffic } from '../../harness/workloads.js';
import { readOracle } from './oracle.js';
import { demoSite } from './site.js';
import type { DemoSummary } from './summary.js';
import { summarize } from './summary.js';

/** Options of a demo run. */
export interface DemoOptions {
  seconds: number;
  seed: number;
  print: (line: string) => void;
}

const PROGRESS_INTERVAL_MS = 1000;

const describeSite = (site: Site): string => {
  const processes = 1 + site.groups.length + site.upstreams.length + site.entries.length;
  const replicas = site.services.reduce((sum, service) => sum + service.processes.length, 0);
  const entries = site.entries.map((entry) => entry.url).join(', ');
  return `${processes + replicas} processes run; entries at ${entries}`;
};

interface Progress {
  sent: number;
  answered: number;
  refused: number;
  unknown: number;
}

const startProgress = (print: (line: string) => void, load: () => Load | undefined) => {
  const counts: Progress = { sent: 0, answered: 0, refused: 0, unknown: 0 };
  let second = 0;
  const timer = setInterval(() => {
    second += 1;
    const open = load()?.inFlight() ?? 0;
    print(
      `${String(second).padStart(3)} s  ended ${counts.sent}, answered ${counts.answered}, ` +
        `refused ${counts.refused}, unknown ${counts.unknown}, open ${open}`,
    );
  }, PROGRESS_INTERVAL_MS);
  return { counts, stop: () => clearInterval(timer) };
};

const sendLoad = async (site: Site, options: DemoOptions) => {
  let load: Load | undefined;
  const progress = startProgress(options.print, () => load);
  load = startLoad({
    kinds: [...liveSaleTraffic, ...releaseTraffic],
    urls: () => site.entries.map((entry) => entry.url),
    random: createSeededRandom(options.seed),
    run: 'demo',
    durationMs: options.seconds * 1000,
    onDone: ({ result }) => {
      progress.counts.sent += 1;
      if (result.outcome === 'answered') progress.counts.answered += 1;
      if (result.outcome === 'not-run') progress.counts.refused += 1;
      if (result.outcome === 'unknown') progress.counts.unknown += 1;
    },
  });
  const calls = await load.finished;
  progress.stop();
  return calls;
};

/** Starts the site, sends the load, fetches the stand-ins' counts and closes the site. */
export const runDemo = async (options: DemoOptions): Promise<DemoSummary> => {
  const spec = demoSite();
  options.print('starting the stand-ins, agents and entries');
  const site = await startSite(spec);
  try {
    options.print(describeSite(site));
    const calls = await sendLoad(site, options);
    const mayNotRepeat = (name: string): boolean =>
      spec.intent.classes[name]?.mayNotRepeat ?? false;
    return summarize(calls, await readOracle(site), mayNotRepeat);
  } finally {
    await site.close();
  }
};
