/** Two data centres of one deployment under load; for the drain and recovery experiments. */

import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@plantaindrum/common';
import type { IntentKey } from '@plantaindrum/intent';
import { request } from 'undici';
import { repositoryRoot } from '../harness/child.js';
import type { Load, LoadCall } from '../harness/load.js';
import { startLoad } from '../harness/load.js';
import { OPERATOR_TOKEN, readIntentFile } from '../harness/operators.js';
import { startSite } from '../harness/site.js';
import type { Site, SiteEntry, SiteSpec } from '../harness/site-types.js';
import type { TrafficKind } from '../harness/traffic.js';
import { completion } from '../harness/traffic.js';
import { until } from '../harness/until.js';
import { liveSaleTraffic } from '../harness/workloads.js';

/** The data centre that is stopped or loses a VM, and the one that stays. */
export const STOPPED = 'kent';
export const STAYING = 'lynnwood';

const LONG_TOKENS = 400;
const LIST_LAG_MS = 1_000;
const LINKED_WITHIN_MS = 10_000;
/** A drain that takes longer counts as failed. */
export const LONGEST_DRAIN_MS = 60_000;
const QUIET_POLL_MS = 100;
const QUIET_READINGS = 3;

/** Streams that take some seconds, so that some are always open when a stop begins. */
const longStreams: TrafficKind = {
  class: 'lot-draft',
  organisations: ['orchard-cars', 'yakima-trade-ins'],
  perSecond: 2,
  make: ({ n }) =>
    completion({
      model: 'lot-writer',
      prompt: `long draft ${n}`,
      maxTokens: LONG_TOKENS,
      stream: true,
    }),
};

const groupIn = (dataCentre: string) => ({
  name: `lot-writer-${dataCentre}`,
  model: 'lot-writer',
  dataCentre,
  engines: 2,
  ranksPerEngine: 2,
});

const SERVICES = ['exports', 'title-checks'];

/** Two entries, two groups of two engines, and plain services. */
const twoDataCentres = (): SiteSpec => ({
  region: 'northwest',
  intent: readIntentFile(`${repositoryRoot}examples/cascade-lotline/intent.jsonc`),
  groups: [groupIn(STOPPED), groupIn(STAYING)],
  services: SERVICES.map((name) => ({ name, dataCentre: STAYING, replicas: 2 })),
  entries: [
    { name: `${STOPPED}-entry-1`, dataCentre: STOPPED },
    { name: `${STAYING}-entry-1`, dataCentre: STAYING },
  ],
  platformFlags: { 'lag-ms': LIST_LAG_MS },
});

const isLinkedToAll = async ({ operators }: SiteEntry, upstreams: number): Promise<boolean> => {
  const { upstreams: lines } = (await operators.status()) as { upstreams: { linked: boolean }[] };
  return lines.length === upstreams && lines.every(({ linked }) => linked);
};

/** Starts the site, and waits until each entry has read the list and is linked to all upstreams. */
export const startTwoDataCentres = async (): Promise<Site> => {
  const site = await startSite(twoDataCentres());
  const linked = site.entries.map((entry) =>
    until(
      `${entry.name} is linked`,
      () => isLinkedToAll(entry, site.upstreams.length),
      LINKED_WITHIN_MS,
    ),
  );
  await Promise.all(linked);
  return site;
};

const PROBE_MS = 200;

/** The platform's balancer: probes readiness, and sends callers to ready entries only. */
export interface ProbedEntries {
  urls(): string[];
  stop(): void;
}

/** Starts to probe; an entry that fails one probe gets no new callers until one passes again. */
export const probeEntries = (entries: SiteEntry[]): ProbedEntries => {
  const ready = new Set(entries);
  let stopped = false;

  const probe = async (entry: SiteEntry): Promise<void> => {
    while (!stopped) {
      if (await entry.operators.ready()) ready.add(entry);
      else ready.delete(entry);
      await delay(PROBE_MS);
    }
  };
  entries.forEach((entry) => {
    void probe(entry);
  });

  return {
    urls: () => [...ready].map(({ url }) => url),
    stop: () => {
      stopped = true;
    },
  };
};

/** Starts the live-sale load with long streams in it. */
export const startMixedLoad = (
  urls: () => string[],
  options: { seed: number; durationMs: number; run: string; scale: number },
): Load =>
  startLoad({
    kinds: [...liveSaleTraffic, longStreams],
    urls,
    random: createSeededRandom(options.seed),
    ...options,
  });

/** What one experiment does under load. */
export interface LoadedRun<T> {
  /** Tells this run's calls apart from those of others. */
  what: string;
  seed: number;
  quick: boolean;
  /** How long the load goes on after the act begins, in milliseconds. */
  afterMs: number;
  act: (site: Site, load: Load) => Promise<T>;
}

/** Load before the act, in milliseconds: long streams are open by then. */
const BEFORE_MS = 3_000;

/** Starts the site and its load, acts, and waits for the last call; closes the site in any case. */
export const runUnderLoad = async <T>(
  run: LoadedRun<T>,
): Promise<{ acted: T; calls: LoadCall[] }> => {
  const site = await startTwoDataCentres();
  const probed = probeEntries(site.entries);
  try {
    const load = startMixedLoad(probed.urls, {
      seed: run.seed,
      durationMs: BEFORE_MS + run.afterMs,
      run: run.what,
      scale: run.quick ? 1 : 2,
    });
    await delay(BEFORE_MS);
    const acted = await run.act(site, load);
    return { acted, calls: await load.finished };
  } finally {
    probed.stop();
    await site.close();
  }
};

/** Counts of calls by what became of them; other ends than answers by reason and class. */
export const countOutcomes = (calls: LoadCall[]): Record<string, number> => {
  const counts: Record<string, number> = {};
  calls.forEach((done) => {
    const { outcome, reason } = done.result;
    const name = outcome === 'answered' ? outcome : `${outcome}:${reason}:${done.class}`;
    counts[name] = (counts[name] ?? 0) + 1;
  });
  return counts;
};

/** Sets the state of a data centre by the operators' intent; throws when it isn't accepted. */
export const setDataCentre = async (
  site: Site,
  name: string,
  state: 'serving' | 'stopped',
): Promise<void> => {
  const operators = site.entry(1).operators;
  const key: IntentKey = `dataCentres/${name}`;
  const { versions } = (await operators.intent()) as { versions: Record<string, number> };
  const answer = await operators.change([{ key, base: versions[key] ?? -1, value: { state } }]);
  if (answer.outcome !== 'accepted') throw new Error(`${name}: ${JSON.stringify(answer)}`);
};

interface NodeInFlight {
  node: string;
  role: string;
  inFlight?: number;
}

const inFlight = async (site: Site, dataCentre: string): Promise<NodeInFlight[]> => {
  const door = site.entry(1).process.ready.operators;
  const headers = { authorization: `Bearer ${OPERATOR_TOKEN}` };
  const res = await request(`${door}/nodes?data-centre=${dataCentre}`, { headers });
  return (await res.body.json()) as NodeInFlight[];
};

/** What `plantaindrum data-centre stop` waits for, and the time that it took. */
export const untilQuiet = async (site: Site): Promise<number> => {
  const begun = performance.now();
  for (let quiet = 0; quiet < QUIET_READINGS;) {
    const nodes = await inFlight(site, STOPPED);
    quiet = nodes.some((node) => (node.inFlight ?? 0) > 0) ? 0 : quiet + 1;
    if (performance.now() - begun > LONGEST_DRAIN_MS) return Infinity;
    await delay(QUIET_POLL_MS);
  }
  return performance.now() - begun;
};

/** Requests that the entries have dispatched to an upstream so far. */
export const dispatchedTo = async (site: Site, upstream: string): Promise<number> => {
  const name = 'plantaindrum_dispatches_total';
  const counts = await Promise.all(
    site.entries
      .filter(({ process }) => process.running())
      .map(({ operators }) => operators.counter(name, { upstream })),
  );
  return counts.reduce((sum, count) => sum + count, 0);
};
