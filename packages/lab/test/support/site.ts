import { after, before } from 'mocha';
import type { CallSpec } from '../../src/harness/caller.js';
import { createForwarder } from '../../src/harness/forwarder.js';
import type { Forwarder } from '../../src/harness/forwarder.js';
import { startSite } from '../../src/harness/site.js';
import type { Site, SiteSpec } from '../../src/harness/site-types.js';
import { engineViews, serviceCounts } from '../../src/harness/stand-ins.js';
import { completion, exampleKey } from '../../src/harness/traffic.js';
import { until } from '../../src/harness/until.js';

const START_TIMEOUT_MS = 60_000;
/** Lengthens the deadlines of the examples, about a second, which a machine under load would miss. */
const DEADLINE_FACTOR = 20;

const withLongerDeadlines = (spec: SiteSpec): SiteSpec => {
  const classes = Object.entries(spec.intent.classes).map(([name, declared]) => [
    name,
    { ...declared, latestAnswerMs: DEADLINE_FACTOR * declared.latestAnswerMs },
  ]);
  return { ...spec, intent: { ...spec.intent, classes: Object.fromEntries(classes) } };
};

/** Starts a site before the tests of a suite and closes it after them. */
export const useSite = (spec: () => SiteSpec): (() => Site) => {
  let site: Site | undefined;
  before(async function start() {
    this.timeout(START_TIMEOUT_MS);
    site = await startSite(withLongerDeadlines(spec()));
  });
  after(async () => {
    await site?.close();
  });
  return () => {
    if (!site) throw new Error('the site has not started');
    return site;
  };
};

/** Puts a forwarder in front of each agent's link; `forwarder(name)` returns the latest one. */
export const forwardLinks = () => {
  const forwarders = new Map<string, Forwarder>();
  const listedLink = async (name: string, link: string): Promise<string> => {
    const forwarder = await createForwarder(link);
    forwarders.set(name, forwarder);
    return forwarder.address;
  };
  const forwarder = (name: string): Forwarder => {
    const found = forwarders.get(name);
    if (!found) throw new Error(`no forwarder before ${name}`);
    return found;
  };
  const close = async (): Promise<void> => {
    await Promise.all([...forwarders.values()].map((found) => found.close()));
  };
  return { listedLink, forwarder, close };
};

/** Builds an approval hook, which may not be repeated; the idempotency key makes a retry safe. */
export const approvalCall = (url: string, name: string, key?: string): CallSpec => ({
  url,
  path: `/approvals/${name}`,
  key: exampleKey('duna-digital'),
  body: { release: name },
  ...(key === undefined ? {} : { idempotencyKey: key }),
});

/** Builds a diff verdict that is streamed as up to `maxTokens` tokens. */
export const verdictCall = (url: string, prompt: string, maxTokens: number): CallSpec => ({
  url,
  key: exampleKey('duna-digital'),
  class: 'diff-verdict',
  ...completion({ model: 'visual-reviewer', prompt, maxTokens, stream: true }),
});

/** Counts the executions of a path over all replicas of the site's plain services. */
export const countRuns = async (site: Site, path: string): Promise<number> => {
  const replicas = site.services.flatMap((service) => service.processes);
  const counts = await Promise.all(replicas.map((child) => serviceCounts(child.ready.control)));
  return counts.reduce((sum, count) => sum + (count.byPath[path] ?? 0), 0);
};

/** Waits until a replica runs a call and returns the name of its upstream. */
export const waitForBusyUpstream = (site: Site): Promise<string> =>
  until('a service runs a call', async () => {
    const services = site.upstreams.filter((upstream) => upstream.kind === 'service');
    const counts = await Promise.all(services.map(({ control }) => serviceCounts(control)));
    return services.find((_, index) => (counts[index]?.inFlight ?? 0) > 0)?.name;
  });

/** Sums a count over the engines of the site's first group. */
export const sumEngineCounts = async (
  site: Site,
  count: 'started' | 'finished' | 'cancelled' | 'running' | 'waiting',
): Promise<number> => {
  const control = site.groups[0]?.process.ready.control ?? '';
  const views = await engineViews(control);
  return views.reduce((sum, view) => sum + view[count], 0);
};
