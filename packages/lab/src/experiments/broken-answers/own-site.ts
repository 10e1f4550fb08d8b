/** Our own interface: entries, links, and an agent beside each upstream. */

import { createHash } from 'node:crypto';
import { intentDocumentSchema } from '@plantaindrum/intent';
import { createChildGroup } from '../../harness/child-group.js';
import { readCpuTimeMs } from '../../harness/cpu-time.js';
import { createNodeProcesses } from '../../harness/node-processes.js';
import { createSettingsFolder } from '../../harness/settings-folder.js';
import { declareIntent } from '../../harness/site.js';
import type { SiteSpec } from '../../harness/site-types.js';
import { platformSpec, putVms } from '../../harness/stand-ins.js';
import type { PlatformReady } from '../../harness/stand-ins.js';
import { toEntryVm, toUpstreamVm } from '../../harness/upstream-plans.js';
import { mayRepeat } from './cases.js';
import type { RequestKind } from './cases.js';
import { pairOf, requestBody } from './site.js';
import type { EndingSite, SiteOptions } from './site.js';
import { startUpstream } from './upstreams.js';
import type { TestUpstream } from './upstreams.js';

const ENTRIES = 2;
const DATA_CENTRE = 'kent';
const REGION = 'northwest';
/** An answer that has begun may be stalled after this, in ms, well before its caller gives up. */
const TARGET_MS = 2_000;
const KEY = 'key-of-broken-answers';
const FIRST_PORT = 21_000;
const HOST = `127.${20 + (process.pid % 200)}.9.1`;
const VM_LIST_LAG_MS = 100;
const KINDS: readonly RequestKind[] = [
  ...(['resumable-stream', 'single-stream', 'safe-call', 'unsafe-call'] as const),
];

const serviceOf = (pair: number): string => `pair-${pair}`;

const intentOf = (pairs: number) => {
  const routes = Array.from({ length: pairs }, (_, pair) => pair).flatMap((pair) =>
    KINDS.map((kind) => {
      const route = { pathPrefix: `/${kind}-${pair}`, service: serviceOf(pair) };
      return [`${kind}-${pair}`, { ...route, class: mayRepeat(kind) ? 'repeatable' : 'once' }];
    }),
  );
  const keyHashes = [createHash('sha256').update(KEY).digest('hex')];
  return intentDocumentSchema.parse({
    classes: {
      repeatable: { latestAnswerMs: TARGET_MS },
      once: { latestAnswerMs: TARGET_MS, mayNotRepeat: true },
    },
    organisations: { dealer: { keyHashes, defaultClass: 'repeatable' } },
    routes: Object.fromEntries(routes),
  });
};

const specOf = (pairs: number): SiteSpec => ({
  region: REGION,
  intent: intentOf(pairs),
  groups: [],
  services: [],
  entries: Array.from({ length: ENTRIES }, (_, n) => ({
    name: `entry-${n + 1}`,
    dataCentre: DATA_CENTRE,
  })),
});

/** Starts the site. */
export const startOwnSite = async (options: SiteOptions): Promise<EndingSite> => {
  const { pairs, ...events } = options;
  const spec = specOf(pairs);
  const folder = createSettingsFolder();
  const { start, killAll } = createChildGroup();
  const platform = await start<PlatformReady>(platformSpec({ 'lag-ms': VM_LIST_LAG_MS }));
  const nodes = createNodeProcesses(spec, platform.ready, folder, start);
  const upstreams: TestUpstream[] = await Promise.all(
    Array.from({ length: 2 * pairs }, (_, n) => {
      const address = { host: HOST, port: FIRST_PORT + n, name: `own-${n}` };
      return startUpstream({ ...address, ...events, onListening: () => {} });
    }),
  );
  const agents = await Promise.all(
    upstreams.map(({ host, port }, n) => {
      const service = serviceOf(Math.floor(n / 2));
      const url = `http://${host}:${port}`;
      return nodes.startAgent({
        ...{ name: `${service}-${n}`, dataCentre: DATA_CENTRE, kind: 'service', url, control: url },
        labels: { kind: 'service', service },
        upstream: { kind: 'service', url },
      });
    }),
  );
  const entries = await Promise.all(spec.entries.map(nodes.startEntry));
  await putVms(platform.ready.vms, [
    ...agents.map((agent) => toUpstreamVm(agent, REGION)),
    ...entries.map((entry) => toEntryVm(entry, REGION)),
  ]);
  await declareIntent({ entries, upstreams: agents }, spec.intent);

  return {
    callOf: (pair, call) => ({
      url: `${entries[pair % ENTRIES]?.url}/${call.kind}-${pair}/${call.plan.id}`,
      headers: { authorization: `Bearer ${KEY}` },
      body: requestBody(call),
    }),
    // Agents don't learn of it; the upstream beside an agent leaves with its VM.
    announceLeaving: () => {},
    settled: async (pair) => {
      await Promise.all(pairOf(upstreams, pair).map((upstream) => upstream.settled()));
    },
    entryPids: () => entries.map(({ process }) => process.pid),
    cpuMs: async () => {
      const nodePids = [
        ...entries.map(({ process }) => process),
        ...agents.map(({ agent }) => agent),
      ];
      const times = await Promise.all(nodePids.map(({ pid }) => readCpuTimeMs(pid)));
      return times.reduce((sum, ms) => sum + ms, 0);
    },
    close: async () => {
      await killAll();
      await Promise.all(upstreams.map((upstream) => upstream.close()));
      folder.remove();
    },
  };
};
