/** The platform's way into the product: entries that reach the upstreams directly. */

import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  callerHeaders,
  listServer,
  putRoutes,
  SETTINGS_VARIABLE,
  settingsText,
  startStoreStandIn,
  unlistServer,
} from '@plantaindrum/stand-ins';
import type { OperatorRoute, OperatorRouteKind, StoreStandIn } from '@plantaindrum/stand-ins';
import { startChild } from '../../harness/child.js';
import { readCpuTimeMs } from '../../harness/cpu-time.js';
import type { RequestKind } from './cases.js';
import { pairOf, requestBody } from './site.js';
import type { EndingSite, SiteOptions } from './site.js';
import { startUpstream } from './upstreams.js';
import type { TestUpstream } from './upstreams.js';

const ENTRIES = 2;
const PORTS = { callers: 19_427, readiness: 19_420, links: 19_540, engine: 19_428 };
const NETWORK = `127.${20 + (process.pid % 200)}`;
const KEY = 'key-of-broken-answers';
const WAIT_MS = 2_500;
const ROUTE_LIMITS = { timeoutMs: WAIT_MS, targetMs: 500, pauseMs: 500, maxAttempts: 3 };
const HEARTBEAT_MS = 500;
/** Far more than the upstreams that are broken on purpose need. */
const RETRY_ALLOWANCE = 10_000;

const ROUTE_KINDS: Readonly<Record<RequestKind, OperatorRouteKind>> = {
  'resumable-stream': 'streaming',
  'single-stream': 'streaming',
  'safe-call': 'safe',
  'unsafe-call': 'unsafe',
};

const serviceOf = (pair: number): string => `pair-${pair}`;

const routesOf = (pairs: number): OperatorRoute[] => {
  const kinds = Object.entries(ROUTE_KINDS);
  return Array.from({ length: pairs }, (_, pair) =>
    kinds.map(([name, kind]) => ({
      ...{ name: `${name}-${pair}`, kind, service: serviceOf(pair) },
      isResumable: name === 'resumable-stream',
    })),
  ).flat();
};

const startEntry = async (folder: string, store: StoreStandIn, n: number) => {
  const ip = `${NETWORK}.0.${n + 1}`;
  const path = join(folder, `entry-${n}.toml`);
  const fields = { node: `entry-${n}`, ip, ports: PORTS, storePort: store.port };
  await writeFile(path, settingsText({ ...fields, retryAllowance: RETRY_ALLOWANCE }));
  const env = { [SETTINGS_VARIABLE]: path };
  const spec = { name: `entry-${n}`, script: 'platform/dist/main.js', args: ['entry'], env };
  return { ip, child: await startChild(spec) };
};

/** Starts the site. */
export const startPlatformSite = async (options: SiteOptions): Promise<EndingSite> => {
  const { pairs, ...events } = options;
  const folder = await mkdtemp(join(tmpdir(), 'plantaindrum-endings-'));
  const store = await startStoreStandIn();
  const listed = new Map<TestUpstream, { instance: string; service: string; state: string }>();
  let heartbeats = 1;

  const list = (upstream: TestUpstream): void => {
    const { instance = '', service = '', state } = listed.get(upstream) ?? {};
    const address = `${upstream.host}:${upstream.port}`;
    const overrides = { sequence: heartbeats, state, slots: 1_000 };
    listServer(store, instance, service, address, overrides);
  };

  const handleListening = (service: string, upstream: TestUpstream): void => {
    const earlier = listed.get(upstream);
    if (earlier) unlistServer(store, earlier.instance);
    listed.set(upstream, { instance: upstream.instance(), service, state: 'ready' });
    list(upstream);
  };

  putRoutes(store, [KEY], routesOf(pairs), ROUTE_LIMITS);
  const upstreams = await Promise.all(
    Array.from({ length: 2 * pairs }, (_, n) => {
      const service = serviceOf(Math.floor(n / 2));
      const onListening = (upstream: TestUpstream): void => handleListening(service, upstream);
      const address = { host: `${NETWORK}.1.${n + 1}`, port: PORTS.engine, name: `i-${n}` };
      return startUpstream({ ...address, ...events, onListening });
    }),
  );
  const entries = await Promise.all(
    Array.from({ length: ENTRIES }, (_, n) => startEntry(folder, store, n)),
  );
  const timer = setInterval(() => {
    heartbeats += 1;
    upstreams.forEach(list);
  }, HEARTBEAT_MS);

  return {
    callOf: (pair, call) => {
      const { ip } = entries[pair % ENTRIES] ?? { ip: '' };
      return {
        url: `http://${ip}:${PORTS.callers}/${call.kind}-${pair}/${call.plan.id}`,
        headers: callerHeaders(call.plan.id, KEY, WAIT_MS),
        body: requestBody(call),
      };
    },
    announceLeaving: (upstream) => {
      const record = listed.get(upstream);
      if (record) listed.set(upstream, { ...record, state: 'draining' });
      heartbeats += 1;
      list(upstream);
    },
    settled: async (pair) => {
      await Promise.all(pairOf(upstreams, pair).map((upstream) => upstream.settled()));
    },
    entryPids: () => entries.map(({ child }) => child.pid),
    cpuMs: async () => {
      const times = await Promise.all(entries.map(({ child }) => readCpuTimeMs(child.pid)));
      return times.reduce((sum, ms) => sum + ms, 0);
    },
    close: async () => {
      clearInterval(timer);
      await Promise.all(entries.map(({ child }) => child.kill()));
      await Promise.all(upstreams.map((upstream) => upstream.close()));
      await store.close();
      await rm(folder, { recursive: true });
    },
  };
};
