/** The site that faults strike, with a forwarder before the link of each agent. */
import { setTimeout as delay } from 'node:timers/promises';
import { request } from 'undici';
import { repositoryRoot } from '../../harness/child.js';
import type { Forwarder } from '../../harness/forwarder.js';
import { createForwarder } from '../../harness/forwarder.js';
import { readIntentFile } from '../../harness/operators.js';
import { startSite } from '../../harness/site.js';
import type { Site, SiteSpec } from '../../harness/site-types.js';

/** A running site and the forwarder before each upstream's agent, by the upstream's name. */
export interface FaultSite {
  site: Site;
  spec: SiteSpec;
  forwarders: Map<string, Forwarder>;
  close(): Promise<void>;
}

const DATA_CENTRES = ['kent', 'lynnwood'];
const LIST_LAG_MS = 300;

const siteSpec = (listedLink: SiteSpec['listedLink']): SiteSpec => ({
  region: 'northwest',
  intent: readIntentFile(`${repositoryRoot}examples/cascade-lotline/intent.jsonc`),
  groups: DATA_CENTRES.map((dataCentre) => ({
    name: `lot-writer-${dataCentre}`,
    model: 'lot-writer',
    dataCentre,
    engines: 2,
    ranksPerEngine: 2,
  })),
  services: ['exports', 'title-checks'].map((name) => ({
    name,
    dataCentre: 'lynnwood',
    replicas: 2,
  })),
  entries: DATA_CENTRES.map((dataCentre) => ({ name: `${dataCentre}-entry-1`, dataCentre })),
  platformFlags: { 'lag-ms': LIST_LAG_MS },
  ...(listedLink && { listedLink }),
});

/** Starts the site. */
export const startFaultSite = async (): Promise<FaultSite> => {
  const forwarders = new Map<string, Forwarder>();
  const all: Forwarder[] = [];
  const spec = siteSpec(async (upstream, link) => {
    const forwarder = await createForwarder(link);
    forwarders.set(upstream, forwarder);
    all.push(forwarder);
    return forwarder.address;
  });
  const site = await startSite(spec);
  const close = async (): Promise<void> => {
    await site.close();
    await Promise.all(all.map((forwarder) => forwarder.close()));
  };
  return { site, spec, forwarders, close };
};

const PROBE_MS = 200;

const isReady = async (url: string): Promise<boolean> => {
  try {
    const res = await request(`${url}/ready`, { headersTimeout: PROBE_MS, bodyTimeout: PROBE_MS });
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
};

/** The platform's balancer: knows the entries of the moment, sends to those that are ready. */
export const startBalancer = (site: Site) => {
  let ready: string[] = site.entries.map(({ url }) => url);
  let turn = 0;
  let stopped = false;
  const watch = async (): Promise<void> => {
    while (!stopped) {
      const entries = [...site.entries];
      const passed = await Promise.all(
        entries.map((entry) => isReady(entry.process.ready.operators)),
      );
      ready = entries.filter((_, at) => passed[at]).map(({ url }) => url);
      await delay(PROBE_MS);
    }
  };
  void watch();
  return {
    /** The next ready entry; any entry when none is ready. */
    pick: (): string => {
      const urls = ready.length > 0 ? ready : site.entries.map(({ url }) => url);
      turn += 1;
      return urls[turn % urls.length] ?? '';
    },
    stop: (): void => {
      stopped = true;
    },
  };
};
