/** A site of the soak: the platform's programs as processes, with stand-ins for the store and the servers. */

import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  createGroup,
  listServer,
  putDesiredState,
  setEvacuated,
  SETTINGS_VARIABLE,
  settingsText,
  startServerStandIn,
  startStoreStandIn,
} from '@plantaindrum/stand-ins';
import type { GroupStandIn, ServerStandIn, StoreStandIn } from '@plantaindrum/stand-ins';
import { startChild } from '../harness/child.js';
import type { Child } from '../harness/child.js';

/** A VM with one program. */
export interface Vm {
  name: string;
  role: 'entry' | 'agent';
  ip: string;
  zone: string;
  child: Child<unknown>;
  /** Number of starts of the program; incremented before the next process starts. */
  boot: number;
}

/** Everything that a soak runs and may disturb. */
export interface SoakSite {
  store: StoreStandIn;
  group: GroupStandIn;
  servers: readonly ServerStandIn[];
  /** The plain server that advertises a rate limit. */
  limitedServer: ServerStandIn;
  vms: readonly Vm[];
  /** Servers by service. */
  services: Readonly<Record<'book' | 'llm', readonly ServerStandIn[]>>;
  /** Starts a VM's program again after it has exited. */
  restart(vm: Vm): Promise<void>;
  /** Rewrites the settings of a VM with another limit for retries. */
  changeSettings(vm: Vm, retryAllowance: number): Promise<void>;
  /** Servers of the data centre that `setEvacuated` evacuates. */
  evacuableServers: readonly ServerStandIn[];
  /** Has operators request the evacuation of that data centre, or withdraw it. */
  setEvacuated(isEvacuated: boolean): void;
  /** Writes the operators' desired state to the store; a higher version is newer. */
  putIntent(version: number, keys: readonly string[]): void;
  /** Writes the latest desired state and all server records again, as after the store lost its latest records. */
  rewriteLatest(): void;
  close(): Promise<void>;
}

/** Part of prompts on which the servers crash. */
export const CRASH_PART = 'bad0';

/** Ports of all programs of the soak; each program has a loopback address of its own. */
export const SOAK_PORTS = { callers: 19_227, readiness: 19_220, links: 19_340, engine: 19_228 };

/** Size of a soak site. */
export interface SoakSiteSize {
  entries: number;
  /** Ranks of the one expert group, each with an agent. */
  ranks: number;
  /** Plain servers. */
  plainServers: number;
  sets: number;
  experts: number;
  passMs: number;
  /** Script of the programs, relative to the root of the repository; by default the compiled modules. */
  program?: string;
  /** Data centres that the VMs and the servers are spread over; by default a single one. */
  dataCentres?: number;
}

/** A small site, with room for several soaks on one machine. */
export const DEFAULT_SIZE: SoakSiteSize = {
  entries: 2,
  ranks: 4,
  plainServers: 2,
  sets: 2,
  experts: 12,
  passMs: 25,
};
/** Passes after which another expert becomes popular. */
const PASSES_PER_SHIFT = 60;
/** Limit on retries that is in force at the start, and the highest one; low, so that a soak reaches it. */
export const MAX_RETRY_ALLOWANCE = 30;
/** Character code of the name of the first data centre. */
const FIRST_ZONE = 'a'.charCodeAt(0);
/** A data centre that can be evacuated, and its servers; all others are in another one. */
const EVACUABLE_DATA_CENTRE = 'z';
const EVACUABLE_INSTANCES: ReadonlySet<string> = new Set(['rank-1', 'book-1']);
const PROGRAM = 'platform/dist/main.js';

/** Loopback prefix by process id, so that soaks running at the same time use different addresses. */
const ADDRESS_BLOCKS = 200;
const addressPrefix = `127.${20 + (process.pid % ADDRESS_BLOCKS)}`;
const entryIp = (at: number): string => `${addressPrefix}.1.${at + 1}`;
const rankIp = (rank: number): string => `${addressPrefix}.2.${rank + 1}`;
const serverIp = (at: number): string => `${addressPrefix}.3.${at + 1}`;

/** Starts a soak site; resolves when every process runs, which is before all are linked. */
export const startSoakSite = async (
  size: SoakSiteSize = DEFAULT_SIZE,
  nodeArgsOf: (vm: Pick<Vm, 'role'>) => string[] = () => [],
): Promise<SoakSite> => {
  const {
    entries,
    ranks,
    plainServers,
    sets,
    experts,
    passMs,
    program = PROGRAM,
    dataCentres = 1,
  } = size;
  const zoneOf = (at: number): string => String.fromCharCode(FIRST_ZONE + (at % dataCentres));
  const folder = await mkdtemp(join(tmpdir(), 'plantaindrum-soak-'));
  const store = await startStoreStandIn();
  const serverRecordWriters: (() => void)[] = [];
  let heartbeats = 1;
  let latest: { version: number; keys: readonly string[] } | undefined;
  let isEvacuated = false;
  let passes = 0;
  const nextSelectionCounts = (): number[] => {
    const popularExpert = Math.floor(passes / PASSES_PER_SHIFT) % experts;
    return Array.from({ length: sets * experts }, (_, at) =>
      at % experts === popularExpert ? 6_000 : 300,
    );
  };
  const group = createGroup({ size: ranks, sets, experts, selectionCounts: nextSelectionCounts });
  const startServer = async (
    instance: string,
    service: string,
    ip: string,
    at: number,
    rank?: number,
  ) => {
    const listen = { host: ip, port: SOAK_PORTS.engine };
    const rankPosition = rank === undefined ? undefined : { group, rank };
    const server = await startServerStandIn(listen, instance, rankPosition);
    const write = (): void =>
      listServer(store, instance, service, `${ip}:${SOAK_PORTS.engine}`, {
        zone: zoneOf(at),
        sequence: heartbeats,
        born: server.startedAt(),
        ...(EVACUABLE_INSTANCES.has(instance) && { zone: EVACUABLE_DATA_CENTRE }),
      });
    serverRecordWriters.push(write);
    server.crashOnPart(CRASH_PART, write);
    write();
    return server;
  };
  const limitedServer = await startServer('book-0', 'book', serverIp(0), 0);
  const servers = await Promise.all([
    limitedServer,
    ...Array.from({ length: ranks }, (_, n) => startServer(`rank-${n}`, 'llm', rankIp(n), n, n)),
    ...Array.from({ length: plainServers - 1 }, (_, n) =>
      startServer(`book-${n + 1}`, 'book', serverIp(n + 1), n + 1),
    ),
  ]);
  const timer = setInterval(() => {
    passes += 1;
    group.pass();
  }, passMs);

  const settingsPath = ({ name }: { name: string }): string => join(folder, `${name}.toml`);
  const startProgram = async (vm: Omit<Vm, 'child' | 'boot'>): Promise<Child<unknown>> =>
    startChild({
      name: vm.name,
      script: program,
      nodeArgs: nodeArgsOf(vm),
      args: [vm.role],
      env: { [SETTINGS_VARIABLE]: settingsPath(vm) },
    });
  const writeSettings = (vm: Omit<Vm, 'child' | 'boot'>, retryAllowance: number): Promise<void> => {
    const { name: node, ip, zone } = vm;
    const fields = { node, ip, zone, ports: SOAK_PORTS, storePort: store.port, retryAllowance };
    return writeFile(settingsPath(vm), settingsText(fields));
  };

  const startVm = async (vm: Omit<Vm, 'child' | 'boot'>): Promise<Vm> => {
    await writeSettings(vm, MAX_RETRY_ALLOWANCE);
    return { ...vm, child: await startProgram(vm), boot: 1 };
  };
  const putIntent = (version: number, keys: readonly string[]): void => {
    if (latest === undefined || version > latest.version) latest = { version, keys };
    putDesiredState(store, version, keys, { sets, experts });
  };
  putIntent(1, ['key-a', 'key-b', 'key-c']);
  const vms = await Promise.all([
    ...Array.from({ length: entries }, (_, n) =>
      startVm({ name: `entry-${n}`, role: 'entry', ip: entryIp(n), zone: zoneOf(n) }),
    ),
    ...Array.from({ length: ranks }, (_, n) =>
      startVm({ name: `agent-${n}`, role: 'agent', ip: rankIp(n), zone: zoneOf(n) }),
    ),
  ]);

  return {
    store,
    group,
    servers,
    limitedServer,
    vms,
    services: {
      book: servers.filter((_, at) => at === 0 || at > ranks),
      llm: servers.slice(1, ranks + 1),
    },
    restart: async (vm) => {
      // Set before the start, because the program serves callers before its ready line has been read here.
      Object.assign(vm, { boot: vm.boot + 1 });
      Object.assign(vm, { child: await startProgram(vm) });
    },
    changeSettings: writeSettings,
    putIntent,
    // The servers are the first plain one, the ranks and the other plain ones, in this order.
    evacuableServers: [servers[2], servers[ranks + 1]].flatMap((server) => server ?? []),
    setEvacuated: (next) => {
      isEvacuated = next;
      setEvacuated(store, EVACUABLE_DATA_CENTRE, next);
    },
    rewriteLatest: () => {
      if (latest) putIntent(latest.version, latest.keys);
      setEvacuated(store, EVACUABLE_DATA_CENTRE, isEvacuated);
      heartbeats += 1;
      serverRecordWriters.forEach((write) => write());
    },
    close: async () => {
      clearInterval(timer);
      await Promise.all(vms.map(({ child }) => child.kill()));
      await Promise.all(servers.map((server) => server.close()));
      await store.close();
      await rm(folder, { recursive: true });
    },
  };
};
