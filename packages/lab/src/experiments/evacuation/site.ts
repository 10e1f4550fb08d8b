/** Six entries as processes before upstreams in two data centres, with callers. */

import { request } from 'node:http';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import type { Random } from '@plantaindrum/common';
import {
  callerHeaders,
  listServer,
  putRoutes,
  serverStamp,
  setEvacuated,
  SETTINGS_VARIABLE,
  settingsText,
  startStoreStandIn,
} from '@plantaindrum/stand-ins';
import { startChild } from '../../harness/child.js';
import type { Child } from '../../harness/child.js';
import { createForwarder } from '../../harness/forwarder.js';
import { startRecordingUpstream } from './upstream.js';
import type { RecordingUpstream } from './upstream.js';

/** A span of time (monotonic, ms). */
export interface Span {
  from: number;
  to: number;
}

/** An upstream, and when it was evacuated and cold. */
export interface SiteUpstream extends RecordingUpstream {
  instance: string;
  dataCentre: string;
  evacuated: Span[];
  cold: Span[];
}

/** A call and its result. */
export interface SiteCall {
  entry: number;
  /** HTTP status; 0 without a response. */
  status: number;
  isWhole: boolean;
  endedAt: number;
  ms: number;
}

/** A running site. */
export interface EvacuationSite {
  upstreams: readonly SiteUpstream[];
  calls: readonly SiteCall[];
  setRate(perSecond: number): void;
  stopCallers(): Promise<void>;
  evacuate(dataCentre: string): void;
  /** Withdraws an evacuation; the upstreams there have started again and are cold. */
  takeBack(dataCentre: string): void;
  /** Kills an entry and starts it again. */
  killEntry(entry: number): Promise<void>;
  /** Keeps an entry from the store for a time. */
  cutEntryFromStore(entry: number, ms: number): Promise<void>;
  /** Whether an entry was killed around this time. */
  wasKilled(entry: number, at: number): boolean;
  close(): Promise<void>;
}

/** How long upstreams are cold, what they tolerate until then, and the bound of the settings (1.5 times, and 5 more). */
export const WARMUP = { seconds: 3, perSecond: 26, maxPerSecond: 44 };
const ENTRIES = 6;
const UPSTREAMS_PER_DATA_CENTRE = 3;
const DATA_CENTRES = ['x', 'y'] as const;
const PORTS = { callers: 19_627, readiness: 19_620, links: 19_640, engine: 19_628 };
const NETWORK = `127.${20 + (process.pid % 200)}`;
const KEY = 'key-of-evacuation';
const WAIT_MS = 2_000;
const ROUTE_LIMITS = { timeoutMs: WAIT_MS, targetMs: 300, pauseMs: 300, maxAttempts: 2 };
const HEARTBEAT_MS = 500;
const RESTART_MS = 1_000;
const MS_PER_S = 1_000;

const entryIp = (n: number): string => `${NETWORK}.4.${n + 1}`;

const call = (entry: number, id: string, kind: string): Promise<SiteCall> =>
  new Promise((resolve) => {
    const sentAt = performance.now();
    const end = (status: number, isWhole: boolean): void => {
      const endedAt = performance.now();
      resolve({ entry, status, isWhole, endedAt, ms: endedAt - sentAt });
    };
    const at = { host: entryIp(entry), port: PORTS.callers, path: `/${kind}/${id}` };
    const headers = callerHeaders(id, KEY, WAIT_MS);
    const req = request({ ...at, headers, agent: false, timeout: 2 * WAIT_MS }, (res) => {
      res.resume();
      res.on('error', () => {});
      res.on('close', () => end(res.statusCode ?? 0, res.complete));
    });
    req.on('timeout', () => req.destroy());
    req.on('error', () => end(0, false));
    req.end();
  });

/** Starts the site. */
export const startEvacuationSite = async (random: Random): Promise<EvacuationSite> => {
  const folder = await mkdtemp(join(tmpdir(), 'plantaindrum-evacuation-'));
  const store = await startStoreStandIn();
  const route = { service: 'book', isResumable: true };
  const routes = [
    { ...route, name: 'safe', kind: 'safe' as const },
    { ...route, name: 'gen', kind: 'streaming' as const },
  ];
  putRoutes(store, [KEY], routes, { ...ROUTE_LIMITS, warmup: WARMUP });

  const upstreams = await Promise.all(
    DATA_CENTRES.flatMap((dataCentre, zone) =>
      Array.from({ length: UPSTREAMS_PER_DATA_CENTRE }, async (_, n): Promise<SiteUpstream> => {
        const instance = `${dataCentre}-${n}`;
        const host = `${NETWORK}.5.${zone * UPSTREAMS_PER_DATA_CENTRE + n + 1}`;
        const upstream = await startRecordingUpstream(instance, host, serverStamp);
        return { ...upstream, instance, dataCentre, evacuated: [], cold: [] };
      }),
    ),
  );
  let heartbeats = 0;
  const list = ({ instance, dataCentre, port, cold }: SiteUpstream, n: number): void => {
    const left = (cold.at(-1)?.to ?? 0) - performance.now();
    listServer(store, instance, 'book', `${NETWORK}.5.${n + 1}:${port}`, {
      ...{ zone: dataCentre, slots: 100, sequence: heartbeats, born: 1_000 + cold.length },
      warmup_left_ms: Math.max(0, Math.round(left)),
    });
  };
  const listAll = (): void => {
    heartbeats += 1;
    upstreams.forEach(list);
  };
  listAll();
  const heartbeatTimer = setInterval(listAll, HEARTBEAT_MS);

  const killed: { entry: number; from: number; to: number }[] = [];
  const storeLinks = await Promise.all(
    Array.from({ length: ENTRIES }, () => createForwarder(`127.0.0.1:${store.port}`)),
  );
  const startEntry = async (n: number): Promise<Child<unknown>> => {
    const path = join(folder, `entry-${n}.toml`);
    const storePort = Number(storeLinks[n]?.address.split(':')[1]);
    const vm = { node: `entry-${n}`, ip: entryIp(n), ports: PORTS, storePort };
    await writeFile(path, settingsText({ ...vm, retryAllowance: 100 }));
    const env = { [SETTINGS_VARIABLE]: path };
    return startChild({ name: vm.node, script: 'platform/dist/main.js', args: ['entry'], env });
  };
  const entries = await Promise.all(Array.from({ length: ENTRIES }, (_, n) => startEntry(n)));

  const calls: SiteCall[] = [];
  const pending = new Set<Promise<unknown>>();
  let count = 0;
  let timer: NodeJS.Timeout | undefined;
  const sendNext = (): void => {
    count += 1;
    const entry = Math.floor(random() * ENTRIES);
    const sent = call(entry, `c${count}`, random() < 0.5 ? 'safe' : 'gen');
    pending.add(sent);
    void sent.then((ended) => {
      calls.push(ended);
      pending.delete(sent);
    });
  };

  const inDataCentre = (dataCentre: string): SiteUpstream[] =>
    upstreams.filter((upstream) => upstream.dataCentre === dataCentre);

  return {
    upstreams,
    calls,
    setRate: (perSecond) => {
      clearInterval(timer);
      timer = setInterval(sendNext, MS_PER_S / perSecond);
    },
    stopCallers: async () => {
      clearInterval(timer);
      await Promise.all(pending);
    },
    evacuate: (dataCentre) => {
      const from = performance.now();
      inDataCentre(dataCentre).forEach(({ evacuated }) => evacuated.push({ from, to: Infinity }));
      setEvacuated(store, dataCentre, true);
    },
    takeBack: (dataCentre) => {
      const now = performance.now();
      inDataCentre(dataCentre).forEach(({ evacuated, cold }) => {
        Object.assign(evacuated.at(-1) ?? {}, { to: now });
        cold.push({ from: now, to: now + WARMUP.seconds * MS_PER_S });
      });
      listAll();
      setEvacuated(store, dataCentre, false);
    },
    killEntry: async (n) => {
      const from = performance.now();
      await entries[n]?.kill();
      killed.push({ entry: n, from, to: from + RESTART_MS });
      await delay(RESTART_MS);
      entries[n] = await startEntry(n);
    },
    cutEntryFromStore: async (n, ms) => {
      storeLinks[n]?.refuse(true);
      storeLinks[n]?.cut();
      await delay(ms);
      storeLinks[n]?.refuse(false);
    },
    wasKilled: (n, at) =>
      killed.some(({ entry, from, to }) => entry === n && at >= from && at <= to),
    close: async () => {
      clearInterval(timer);
      clearInterval(heartbeatTimer);
      await Promise.all(entries.map((child) => child.kill()));
      await Promise.all(storeLinks.map((link) => link.close()));
      await Promise.all(upstreams.map((upstream) => upstream.close()));
      await store.close();
      await rm(folder, { recursive: true });
    },
  };
};
