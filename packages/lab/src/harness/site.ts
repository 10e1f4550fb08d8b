import type { IntentDocument } from '@plantaindrum/intent';
import { createChildGroup } from './child-group.js';
import type { NodeProcesses, StartChild } from './node-processes.js';
import { createNodeProcesses } from './node-processes.js';
import { toInitialChanges } from './operators.js';
import type { SettingsFolder } from './settings-folder.js';
import { createSettingsFolder } from './settings-folder.js';
import type {
  GroupSpec,
  ServiceSpec,
  Site,
  SiteEntry,
  SiteSpec,
  SiteUpstream,
} from './site-types.js';
import type { EnginesReady, PlatformReady, ServiceReady } from './stand-ins.js';
import { enginesSpec, platformSpec, putVms, serviceSpec } from './stand-ins.js';
import { until } from './until.js';
import { groupPlans, servicePlans, toEntryVm, toUpstreamVm } from './upstream-plans.js';

const READY_TIMEOUT_MS = 15_000;
/** Lag of the VM list unless the site sets another. */
const VM_LIST_LAG_MS = 100;

const startGroup = async (start: StartChild, spec: GroupSpec, weightsUrl: string) => {
  const flags = {
    group: spec.name,
    model: spec.model,
    engines: spec.engines,
    'ranks-per-engine': spec.ranksPerEngine,
    'weights-url': weightsUrl,
    ...spec.flags,
  };
  return { spec, process: await start<EnginesReady>(enginesSpec(spec.name, flags)) };
};

const startReplicas = async (start: StartChild, spec: ServiceSpec) => {
  const names = Array.from({ length: spec.replicas }, (_, index) => `${spec.name}-${index + 1}`);
  const starting = names.map((name) => start<ServiceReady>(serviceSpec(name, spec.flags)));
  return { spec, processes: await Promise.all(starting) };
};

const requireFound = <T>(what: string, value: T | undefined): T => {
  if (value === undefined) throw new Error(`this site has no ${what}`);
  return value;
};

const startUpstreams = async (
  spec: SiteSpec,
  start: StartChild,
  processes: NodeProcesses,
  weightsUrl: string,
) => {
  const [groups, services] = await Promise.all([
    Promise.all(spec.groups.map((group) => startGroup(start, group, weightsUrl))),
    Promise.all(spec.services.map((service) => startReplicas(start, service))),
  ]);
  const plans = [
    ...groups.flatMap((group) => groupPlans(group.spec, group.process.ready)),
    ...services.flatMap((service) =>
      servicePlans(
        service.spec,
        service.processes.map((child) => child.ready),
      ),
    ),
  ];
  const upstreams = await Promise.all(plans.map(processes.startAgent));
  return { groups, services, upstreams };
};

const buildSite = async (
  spec: SiteSpec,
  start: StartChild,
  close: () => Promise<void>,
  folder: SettingsFolder,
): Promise<Site> => {
  const platform = await start<PlatformReady>(
    platformSpec({ 'lag-ms': VM_LIST_LAG_MS, ...spec.platformFlags }),
  );
  const processes = createNodeProcesses(spec, platform.ready, folder, start);
  const { groups, services, upstreams } = await startUpstreams(
    spec,
    start,
    processes,
    platform.ready.weights,
  );
  const entries: SiteEntry[] = [];

  const upstream = (name: string): SiteUpstream =>
    requireFound(
      `upstream ${name}`,
      upstreams.find((candidate) => candidate.name === name),
    );
  const publish = (): Promise<void> =>
    putVms(platform.ready.vms, [
      ...upstreams.map((candidate) => toUpstreamVm(candidate, spec.region)),
      ...entries.map((entry) => toEntryVm(entry, spec.region)),
    ]);
  const startEntry = async (entry: SiteSpec['entries'][number]): Promise<SiteEntry> => {
    const running = await processes.startEntry(entry);
    entries.push(running);
    return running;
  };

  await publish();
  entries.push(...(await Promise.all(spec.entries.map(processes.startEntry))));
  await publish();
  return {
    platform,
    entries,
    upstreams,
    groups,
    services,
    upstream,
    entry: (index) => requireFound(`entry ${index}`, entries[index]),
    startEntry,
    restartAgent: async (name) => {
      await processes.restartAgent(upstream(name));
      return upstream(name);
    },
    publish,
    close,
  };
};

/** Whether an entry is ready and linked to every upstream of the site. */
export const isEntryServing = async (
  site: Pick<Site, 'upstreams'>,
  entry: SiteEntry,
): Promise<boolean> => {
  if (!(await entry.operators.ready())) return false;
  const { upstreams } = await entry.operators.status();
  const linked = new Set(upstreams.filter((line) => line.linked).map((line) => line.name));
  return site.upstreams.every((upstream) => linked.has(upstream.name));
};

/** Declares the intent at one entry and waits until every entry serves. */
export const declareIntent = async (
  site: Pick<Site, 'entries' | 'upstreams'>,
  intent: IntentDocument,
): Promise<void> => {
  const first = requireFound('entry', site.entries[0]);
  const result = await first.operators.change(toInitialChanges(intent));
  if (result.outcome !== 'accepted') throw new Error(`intent refused: ${JSON.stringify(result)}`);
  const serving = site.entries.map((entry) =>
    until(`${entry.name} serves`, () => isEntryServing(site, entry), READY_TIMEOUT_MS),
  );
  await Promise.all(serving);
};

/** Starts a site: stand-ins, agents, VM list and entries, then declares the intent. */
export const startSite = async (spec: SiteSpec): Promise<Site> => {
  const folder = createSettingsFolder();
  const { start, killAll } = createChildGroup();
  const close = async (): Promise<void> => {
    await killAll();
    folder.remove();
  };
  try {
    const site = await buildSite(spec, start, close, folder);
    await declareIntent(site, spec.intent);
    return site;
  } catch (err) {
    await close();
    throw err;
  }
};
