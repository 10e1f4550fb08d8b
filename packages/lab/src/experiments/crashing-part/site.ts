/** A site of entries and model servers as processes, with a store stand-in. */

import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer, request } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import {
  listServer,
  MODEL_SERVER_VARIABLE,
  NODE_REGISTRY,
  putDesiredState,
  setGroupState,
  SETTINGS_VARIABLE,
  settingsText,
  startStoreStandIn,
  unlistServer,
} from '@plantaindrum/stand-ins';
import type {
  GroupState,
  ModelServerLine,
  ModelServerSettings,
  StoreStandIn,
} from '@plantaindrum/stand-ins';
import { startChild } from '../../harness/child.js';
import type { Child } from '../../harness/child.js';
import { PROMPT_KEYS } from './prompts.js';

/** A process with its address. */
interface SiteProcess {
  ip: string;
  child: Child<unknown>;
}

interface SiteServer extends SiteProcess {
  instance: string;
}

/** A line that an entry has logged. */
export interface EntryLine {
  entry: number;
  at: number;
  event: string;
  fields: Readonly<Record<string, unknown>>;
}

/** Options of `startSite`. */
export interface SiteOptions {
  /** Distinguishes the addresses of sites that run at the same time in one process. */
  block: number;
  entries: number;
  servers: number;
  crashParts: readonly string[];
  isGroup: boolean;
  /** Whether the last entry and the others don't know of each other. */
  isEntryCutOff: boolean;
  /** Differs between servers: what they have sent when they crash, and how their answers end. */
  variantOf: (server: number) => Pick<ModelServerSettings, 'crashPoint' | 'isFramed'>;
  /** Called when a request with one of the parts reaches a server. */
  onArrival: (id: string) => void;
  /** Called when a server has crashed. */
  onCrash: () => void;
}

/** A running site. */
export interface CrashSite {
  store: StoreStandIn;
  entryIps: readonly string[];
  lines: readonly EntryLine[];
  /** Kills all entries at once and starts them again. */
  killEntries(): Promise<void>;
  /** Kills some servers at once; they start again like servers that have crashed. */
  killServers(numbers: readonly number[]): void;
  close(): Promise<void>;
}

/** Ports of all processes; each process has a loopback address of its own. */
export const SITE_PORTS = { callers: 19_427, readiness: 19_420, links: 19_540, engine: 19_428 };

/** Loopback networks by process id, as several runs may share a machine, and parts of one network for each site. */
const NETWORKS = 200;
const FIRST_NETWORK = 20;
const PARTS_PER_SITE = 2;
const RETRY_ALLOWANCE = 90;
const ENTRY_PROGRAM = 'platform/dist/main.js';
const SERVER_PROGRAM = 'packages/stand-ins/dist/users-platform/model-server-main.js';
const HEARTBEAT_MS = 1_000;
/** Time until a server that has crashed starts again, until its record lapses, and until its group is open again, in ms. */
const RESTART_MS = 1_500;
const LAPSE_MS = 2_500;
const FORM_MS = 600;
/** Time for which the other ranks of a group stall before they break off, in ms. */
const STALL_MS = 1_500;
const ENTRY_RESTART_MS = 200;

/** Forwards calls to the store, except those on the registry of nodes. */
const startPartialStore = async (storePort: number): Promise<Server> => {
  const forward = (req: IncomingMessage, res: ServerResponse): void => {
    if ((req.url ?? '').includes(NODE_REGISTRY)) {
      res.writeHead(503).end();
      return;
    }
    const { method, url, headers } = req;
    const target = { host: '127.0.0.1', port: storePort, method, path: url, headers };
    const forwarded = request(target, (answer) => {
      res.writeHead(answer.statusCode ?? 502, answer.headers);
      answer.pipe(res);
    });
    forwarded.on('error', () => res.destroy());
    res.on('close', () => forwarded.destroy());
    req.pipe(forwarded);
  };
  const server = createServer(forward);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return server;
};

/** Starts the site; resolves when all processes run. */
export const startSite = async (options: SiteOptions): Promise<CrashSite> => {
  const networkOf = (part: number): string =>
    `127.${FIRST_NETWORK + (process.pid % NETWORKS)}.${PARTS_PER_SITE * options.block + part}`;
  const entryNetwork = networkOf(0);
  const serverNetwork = networkOf(1);
  const folder = await mkdtemp(join(tmpdir(), 'plantaindrum-crash-'));
  const store = await startStoreStandIn();
  const partialStore = await startPartialStore(store.port);
  const lines: EntryLine[] = [];
  const servers: SiteServer[] = [];
  let isClosed = false;
  let starts = 0;
  let heartbeats = 1;

  const list = ({ instance, ip }: { instance: string; ip: string }): void =>
    listServer(store, instance, 'llm', `${ip}:${SITE_PORTS.engine}`, { sequence: heartbeats });

  const setOthers = async (except: number, state: GroupState): Promise<void> => {
    const others = servers.filter((server, n) => n !== except && server.child.running());
    const target = (ip: string) => ({ host: ip, port: SITE_PORTS.engine });
    await Promise.all(others.map(({ ip }) => setGroupState(target(ip), state).catch(() => {})));
  };

  const spawnServer = async (n: number): Promise<SiteServer> => {
    starts += 1;
    const ip = `${serverNetwork}.${n + 1}`;
    const instance = `i-${starts}`;
    const settings: ModelServerSettings = {
      ...{ host: ip, port: SITE_PORTS.engine, instance, crashParts: options.crashParts },
      ...{ firstEventMs: 60, eventMs: 25, events: 24, maxRequests: 24, ...options.variantOf(n) },
    };
    const child = await startChild({
      name: instance,
      script: SERVER_PROGRAM,
      args: [],
      env: { [MODEL_SERVER_VARIABLE]: JSON.stringify(settings) },
      onLine: (line) => options.onArrival((JSON.parse(line) as ModelServerLine).arrived),
    });
    return { ip, child, instance };
  };

  /** What follows the end of a server until it starts again. */
  const waitForRestart = async (n: number): Promise<void> => {
    if (!options.isGroup) {
      await delay(RESTART_MS);
      return;
    }
    await setOthers(n, 'stalled');
    await delay(STALL_MS);
    await setOthers(n, 'broken');
  };

  /** Runs a server, and starts it again each time it ends; resolves once it runs. */
  const runServer = async (n: number): Promise<void> => {
    const server = await spawnServer(n);
    servers[n] = server;
    list(server);
    void server.child.exited.then(async () => {
      if (isClosed) return;
      options.onCrash();
      setTimeout(() => unlistServer(store, server.instance), LAPSE_MS);
      await waitForRestart(n);
      if (isClosed) return;
      await runServer(n);
      if (!options.isGroup) return;
      await delay(FORM_MS);
      await setOthers(-1, 'open');
    });
  };

  const startEntry = async (n: number): Promise<SiteProcess> => {
    const ip = `${entryNetwork}.${n + 1}`;
    const isCutOff = options.isEntryCutOff && n === options.entries - 1;
    const path = join(folder, `entry-${n}.toml`);
    const storePort = isCutOff ? (partialStore.address() as AddressInfo).port : store.port;
    const fields = { node: `entry-${n}`, ip, ports: SITE_PORTS, storePort };
    await writeFile(path, settingsText({ ...fields, retryAllowance: RETRY_ALLOWANCE }));
    const onLine = (line: string): void => {
      const { event, ...logged } = JSON.parse(line) as { event: string };
      lines.push({ entry: n, at: performance.now(), event, fields: logged });
    };
    const child = await startChild({
      name: `entry-${n}`,
      script: ENTRY_PROGRAM,
      args: ['entry'],
      env: { [SETTINGS_VARIABLE]: path },
      onLine,
    });
    return { ip, child };
  };

  putDesiredState(store, 1, PROMPT_KEYS, { sets: 0, experts: 0 }, 'llm');
  await Promise.all(Array.from({ length: options.servers }, (_, n) => runServer(n)));
  const entries = await Promise.all(
    Array.from({ length: options.entries }, (_, n) => startEntry(n)),
  );
  const timer = setInterval(() => {
    heartbeats += 1;
    servers.filter(({ child }) => child.running()).forEach(list);
  }, HEARTBEAT_MS);

  return {
    store,
    entryIps: entries.map(({ ip }) => ip),
    lines,
    killEntries: async () => {
      await Promise.all(entries.map(({ child }) => child.kill()));
      await delay(ENTRY_RESTART_MS);
      const restarted = await Promise.all(entries.map((_, n) => startEntry(n)));
      entries.splice(0, entries.length, ...restarted);
    },
    killServers: (numbers) => numbers.forEach((n) => servers[n]?.child.signal('SIGKILL')),
    close: async () => {
      isClosed = true;
      clearInterval(timer);
      await Promise.all([...entries, ...servers].map(({ child }) => child.kill()));
      partialStore.close();
      partialStore.closeAllConnections();
      await store.close();
      await rm(folder, { recursive: true });
    },
  };
};
