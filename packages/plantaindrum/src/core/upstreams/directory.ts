/** The upstreams that this entry knows, from the platform's lagging list and its own links. */

import type { Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';
import { createMembership, dialDelayMs } from '@plantaindrum/intent';
import type { FrameHandler, Link, LinkClient } from '@plantaindrum/link';
import type { Vm, VmListClient } from '@plantaindrum/service-clients';
import type { Upstream, UpstreamEvents } from './upstream.js';
import { createUpstream } from './upstream.js';

/** Keeps a link to an agent; the result ends it. */
export type ConnectAgent = (
  vm: Vm,
  onLink: (link: Link) => FrameHandler,
) => Pick<LinkClient, 'close'>;

/** The upstreams known to this entry. */
export interface Directory {
  /** Every upstream of the list that this entry keeps a link to, whether it is up or not. */
  upstreams(): Upstream[];
  /** Every VM of the last list, entries included. */
  vms(): Vm[];
  /** Reads the list once; false when it did not answer. */
  refresh(): Promise<boolean>;
  /** Reads the list until `close`. */
  run(): Promise<void>;
  close(): Promise<void>;
}

/** What a directory needs. */
export interface DirectoryOptions {
  list: Pick<VmListClient, 'list'>;
  connect: ConnectAgent;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
  /** Told of each list; the result says which upstreams of it this entry keeps links to. */
  onList: (vms: readonly Vm[]) => (vm: Vm) => boolean;
  /** Takes what the link of one upstream tells. */
  eventsOf: (vm: Vm) => UpstreamEvents;
  /** Time between two reads of the list, in milliseconds. */
  intervalMs: number;
}

interface Entry {
  upstream: Upstream;
  client: Pick<LinkClient, 'close'>;
}

/** Hellos that an agent takes in beside its work without making requests wait. */
const ACCEPTS_PER_SECOND = 200;

const keyOf = (vm: Vm): string => `${vm.name}@${vm.address}`;

/** Creates a directory that knows nobody yet. */
export const createDirectory = (options: DirectoryOptions): Directory => {
  const { list, connect, clock, random, metrics, log, intervalMs } = options;
  const pause = createPause(clock);
  const listed = new Map<string, Entry>();
  const forgotten = new Set<Entry>();
  const membership = createMembership<Vm>({ clock, metrics });
  let vms: Vm[] = [];
  let lastRead: Vm[] = [];
  let listAnswers = true;
  let stopped = false;

  /** When a whole data centre appears in the list, every entry would dial each of its agents at once. */
  const connectLater: ConnectAgent = (vm, onLink) => {
    const dialers = vms.filter(({ role }) => role === 'entry').length;
    const delayMs = dialDelayMs({ dialers, acceptsPerSecond: ACCEPTS_PER_SECOND, random });
    if (delayMs === 0) return connect(vm, onLink);
    let client: Pick<LinkClient, 'close'> | undefined;
    const cancel = clock.after(delayMs, () => {
      client = connect(vm, onLink);
    });
    return {
      close: async () => {
        cancel();
        await client?.close();
      },
    };
  };

  const add = (vm: Vm): void => {
    const upstream = createUpstream(vm, metrics, options.eventsOf(vm));
    const onLink = (link: Link): FrameHandler => {
      const { instance } = link.peer;
      membership.linked(vm.name, instance);
      void link.closed.then(() => membership.unlinked(vm.name, instance));
      return upstream.onLink(link);
    };
    listed.set(keyOf(vm), { upstream, client: connectLater(vm, onLink) });
    log.info(`upstream ${vm.name} at ${vm.address} appeared`);
  };

  const forget = (key: string, entry: Entry): void => {
    listed.delete(key);
    forgotten.add(entry);
    log.info(`upstream ${entry.upstream.vm().name} left the list`);
  };

  /** A VM that the list forgot may still be answering: its link ends after its last attempt. */
  const closeForgotten = (): void => {
    [...forgotten]
      .filter(({ upstream }) => upstream.outstanding() === 0)
      .forEach((entry) => {
        forgotten.delete(entry);
        void entry.client.close();
      });
  };

  const take = (next: Vm[]): void => {
    vms = next;
    const isWanted = options.onList(next);
    const wanted = new Map(
      next.filter((vm) => vm.role === 'upstream' && isWanted(vm)).map((vm) => [keyOf(vm), vm]),
    );
    listed.forEach((entry, key) => {
      const vm = wanted.get(key);
      if (vm) entry.upstream.setVm(vm);
      else forget(key, entry);
    });
    wanted.forEach((vm, key) => {
      if (!listed.has(key)) add(vm);
    });
    closeForgotten();
  };

  /** The list as far as the links don't contradict it: it lags, and may have lost its records. */
  const believed = (next: Vm[]): Vm[] => {
    membership.listed(next.filter(({ role }) => role === 'upstream'));
    const upstreams = membership.members().filter(({ standing }) => standing !== 'forgotten');
    return [...next.filter(({ role }) => role === 'entry'), ...upstreams.map(({ vm }) => vm)];
  };

  /** Nothing follows from a list that was read before, unless a VM missing from it is waited for. */
  const isNews = (next: Vm[]): boolean => {
    if (next !== lastRead) return true;
    const names = new Set(next.map(({ name }) => name));
    return vms.some(({ name }) => !names.has(name));
  };

  const takeRead = (next: Vm[]): void => {
    if (!isNews(next)) {
      metrics.count('vm_list_unchanged');
      closeForgotten();
      return;
    }
    lastRead = next;
    take(believed(next));
  };

  /** An outage of the list is no reason to drop upstreams that still answer. */
  const refresh = async (): Promise<boolean> => {
    const read = await list.list();
    if (stopped) return true;
    if (read.ok !== listAnswers) log.warn(`VM list ${read.ok ? 'answers again' : 'is down'}`);
    listAnswers = read.ok;
    if (read.ok) takeRead(read.value);
    else metrics.count('vm_list_failed', { kind: read.err.kind });
    return read.ok;
  };

  return {
    upstreams: () => [...listed.values()].map((entry) => entry.upstream),
    vms: () => vms,
    refresh,
    run: async () => {
      while (!stopped) {
        await refresh();
        if (!stopped) await pause.wait(intervalMs * (0.75 + random() / 2));
      }
    },
    close: async () => {
      stopped = true;
      pause.end();
      const entries = [...listed.values(), ...forgotten];
      await Promise.all(entries.map((entry) => entry.client.close()));
    },
  };
};
