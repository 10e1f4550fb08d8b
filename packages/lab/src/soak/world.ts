/** The programs of the platform as processes, before stand-ins of the store and of the servers. */

import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import {
  createGroup,
  listServer,
  putDesiredState,
  SETTINGS_VARIABLE,
  settingsText,
  startServerStandIn,
  startStoreStandIn,
} from '@plantaindrum/stand-ins';
import type { GroupStandIn, ServerStandIn, StoreStandIn } from '@plantaindrum/stand-ins';
import { startChild } from '../harness/child.js';
import type { Child } from '../harness/child.js';

/** One VM with one program. */
export interface Vm {
  name: string;
  role: 'entry' | 'agent';
  ip: string;
  child: Child<unknown>;
  /** Grows with each start of the program, from the end of the one before it. */
  boot: number;
}

/** Everything that a soak runs and may harm. */
export interface World {
  store: StoreStandIn;
  group: GroupStandIn;
  servers: readonly ServerStandIn[];
  /** A plain server, for faults of its own. */
  limited: ServerStandIn;
  vms: readonly Vm[];
  /** Starts a VM's program again after it has ended. */
  restart(vm: Vm): Promise<void>;
  /** Writes the settings of a VM anew, with another bound for retries. */
  changeSettings(vm: Vm, retryAllowance: number): Promise<void>;
  /** Puts the operators' desired state in the store; a larger version is newer. */
  putIntent(version: number, keys: readonly string[]): void;
  /** Writes the newest desired state and all servers' entries once more, as after a loss of the store's newest records. */
  writeAgain(): void;
  close(): Promise<void>;
}

/** Ports that all programs of the soak use, each on a loopback address of its own. */
export const SOAK_PORTS = { callers: 19_227, readiness: 19_220, links: 19_340, engine: 19_228 };

/** How much of everything a world has. */
export interface WorldSize {
  entries: number;
  /** Ranks of the one expert group, each with an agent. */
  ranks: number;
  /** Plain servers. */
  books: number;
  sets: number;
  experts: number;
  passMs: number;
}

const SOAK_SIZE: WorldSize = { entries: 2, ranks: 4, books: 2, sets: 2, experts: 12, passMs: 25 };
/** What is popular moves on after so many passes. */
const PASSES_PER_SHIFT = 60;
const USUAL_ALLOWANCE = 90;
const PROGRAM = 'platform/dist/main.js';

/** Loopback addresses that no other soak on this machine uses at the same time. */
const BLOCKS = 200;
const block = `127.${20 + (process.pid % BLOCKS)}`;
const entryIp = (at: number): string => `${block}.1.${at + 1}`;
const rankIp = (rank: number): string => `${block}.2.${rank + 1}`;
const bookIp = (at: number): string => `${block}.3.${at + 1}`;

/** Starts the world; resolves when every process runs, which is before all are linked. */
export const startWorld = async (
  size: WorldSize = SOAK_SIZE,
  nodeArgsOf: (vm: Pick<Vm, 'role'>) => string[] = () => [],
): Promise<World> => {
  const { entries, ranks, books, sets, experts, passMs } = size;
  const folder = await mkdtemp(join(tmpdir(), 'plantaindrum-soak-'));
  const store = await startStoreStandIn();
  const writers: (() => void)[] = [];
  let heartbeats = 1;
  let newest: { version: number; keys: readonly string[] } | undefined;
  let passes = 0;
  const picks = (): number[] => {
    const hot = Math.floor(passes / PASSES_PER_SHIFT) % experts;
    return Array.from({ length: sets * experts }, (_, at) => (at % experts === hot ? 6_000 : 300));
  };
  const group = createGroup({ size: ranks, sets, experts, picks });
  const startServer = async (instance: string, service: string, ip: string, rank?: number) => {
    const listen = { host: ip, port: SOAK_PORTS.engine };
    const place = rank === undefined ? undefined : { group, rank };
    const server = await startServerStandIn(listen, instance, place);
    const write = (): void =>
      listServer(store, instance, service, `${ip}:${SOAK_PORTS.engine}`, { sequence: heartbeats });
    writers.push(write);
    write();
    return server;
  };
  const limited = await startServer('book-0', 'book', bookIp(0));
  const servers = await Promise.all([
    limited,
    ...Array.from({ length: ranks }, (_, n) => startServer(`rank-${n}`, 'llm', rankIp(n), n)),
    ...Array.from({ length: books - 1 }, (_, n) =>
      startServer(`book-${n + 1}`, 'book', bookIp(n + 1)),
    ),
  ]);
  const timer = setInterval(() => {
    passes += 1;
    group.pass();
  }, passMs);

  const pathOf = ({ name }: { name: string }): string => join(folder, `${name}.toml`);
  const startProgram = async (vm: Omit<Vm, 'child' | 'boot'>): Promise<Child<unknown>> =>
    startChild({
      name: vm.name,
      script: PROGRAM,
      nodeArgs: nodeArgsOf(vm),
      args: [vm.role],
      env: { [SETTINGS_VARIABLE]: pathOf(vm) },
    });
  const writeSettings = (vm: Omit<Vm, 'child' | 'boot'>, retryAllowance: number): Promise<void> => {
    const { name: node, ip } = vm;
    const fields = { node, ip, ports: SOAK_PORTS, storePort: store.port, retryAllowance };
    return writeFile(pathOf(vm), settingsText(fields));
  };

  const startVm = async (vm: Omit<Vm, 'child' | 'boot'>): Promise<Vm> => {
    await writeSettings(vm, USUAL_ALLOWANCE);
    return { ...vm, child: await startProgram(vm), boot: 1 };
  };
  const putIntent = (version: number, keys: readonly string[]): void => {
    if (newest === undefined || version > newest.version) newest = { version, keys };
    putDesiredState(store, version, keys, { sets, experts });
  };
  putIntent(1, ['key-a', 'key-b', 'key-c']);
  const vms = await Promise.all([
    ...Array.from({ length: entries }, (_, n) =>
      startVm({ name: `entry-${n}`, role: 'entry', ip: entryIp(n) }),
    ),
    ...Array.from({ length: ranks }, (_, n) =>
      startVm({ name: `agent-${n}`, role: 'agent', ip: rankIp(n) }),
    ),
  ]);

  return {
    store,
    group,
    servers,
    limited,
    vms,
    restart: async (vm) => {
      // Before the program starts: it serves callers before this process has read its first line.
      Object.assign(vm, { boot: vm.boot + 1 });
      Object.assign(vm, { child: await startProgram(vm) });
    },
    changeSettings: writeSettings,
    putIntent,
    writeAgain: () => {
      if (newest) putIntent(newest.version, newest.keys);
      heartbeats += 1;
      writers.forEach((write) => write());
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
