/** The upstreams that this entry knows, from the platform's lagging list and its own links. */

import type { Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';
import { createMembership, dialDelayMs } from '@plantaindrum/intent';
import type { FrameHandler, Link, LinkClient } from '@plantaindrum/link';
import type { Vm, VmListClient } from '@plantaindrum/service-clients';
import type { Upstream, UpstreamEventHandlers } from './upstream.js';
import { createUpstream } from './upstream.js';

/** Keeps a link to an agent; the result ends it. */
export type ConnectAgent = (
  vm: Vm,
  onLink: (link: Link) => FrameHandler,
) => Pick<LinkClient, 'close'>;

/** The upstreams known to this entry. */
export interface UpstreamDirectory {
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
export interface UpstreamDirectoryOptions {
  list: Pick<VmListClient, 'list'>;
  connect: ConnectAgent;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
  /** Told of each list; the result says which upstreams of it this entry keeps links to. */
  applyVmList: (vms: readonly Vm[]) => (vm: Vm) => boolean;
  /** Takes what the link of one upstream tells. */
  createEventHandlers: (vm: Vm) => UpstreamEventHandlers;
  /** Time between two reads of the list, in milliseconds. */
  intervalMs: number;
}

interface ListedUpstream {
  upstream: Upstream;
  client: Pick<LinkClient, 'close'>;
}

/** Hellos that an agent takes in beside its work without making requests wait. */
const AGENT_ACCEPTS_PER_SECOND = 200;

const vmKey = (vm: Vm): string => `${vm.name}@${vm.address}`;

/** Creates a directory that knows nobody yet. */
export const createUpstreamDirectory = (options: UpstreamDirectoryOptions): UpstreamDirectory => {
  const { list, connect, clock, random, metrics, log, intervalMs } = options;
  const pause = createPause(clock);
  const listed = new Map<string, ListedUpstream>();
  const removed = new Set<ListedUpstream>();
  const membership = createMembership<Vm>({ clock, metrics });
  let vms: Vm[] = [];
  let lastList: Vm[] = [];
  let listReachable = true;
  let stopped = false;

  /** When a whole data centre appears in the list, every entry would dial each of its agents at once. */
  const connectAfterDelay: ConnectAgent = (vm, onLink) => {
    const dialers = vms.filter(({ role }) => role === 'entry').length;
    const delayMs = dialDelayMs({ dialers, acceptsPerSecond: AGENT_ACCEPTS_PER_SECOND, random });
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

  const addUpstream = (vm: Vm): void => {
    const upstream = createUpstream(vm, metrics, options.createEventHandlers(vm));
    const onLink = (link: Link): FrameHandler => {
      const { instance } = link.peer;
      membership.linked(vm.name, instance);
      void link.closed.then(() => membership.unlinked(vm.name, instance));
      return upstream.onLink(link);
    };
    listed.set(vmKey(vm), { upstream, client: connectAfterDelay(vm, onLink) });
    log.info(`upstream ${vm.name} at ${vm.address} appeared`);
  };

  const removeUpstream = (key: string, entry: ListedUpstream): void => {
    listed.delete(key);
    removed.add(entry);
    log.info(`upstream ${entry.upstream.vm().name} left the list`);
  };

  /** A VM that the list forgot may still be answering: its link ends after its last attempt. */
  const closeIdleRemoved = (): void => {
    [...removed]
      .filter(({ upstream }) => upstream.outstanding() === 0)
      .forEach((entry) => {
        removed.delete(entry);
        void entry.client.close();
      });
  };

  const applyVms = (next: Vm[]): void => {
    vms = next;
    const isWanted = options.applyVmList(next);
    const wanted = new Map(
      next.filter((vm) => vm.role === 'upstream' && isWanted(vm)).map((vm) => [vmKey(vm), vm]),
    );
    listed.forEach((entry, key) => {
      const vm = wanted.get(key);
      if (vm) entry.upstream.setVm(vm);
      else removeUpstream(key, entry);
    });
    wanted.forEach((vm, key) => {
      if (!listed.has(key)) addUpstream(vm);
    });
    closeIdleRemoved();
  };

  /** The list as far as the links don't contradict it: it lags, and may have lost its records. */
  const reconcileWithLinks = (next: Vm[]): Vm[] => {
    membership.listed(next.filter(({ role }) => role === 'upstream'));
    const upstreams = membership.members().filter(({ standing }) => standing !== 'forgotten');
    return [...next.filter(({ role }) => role === 'entry'), ...upstreams.map(({ vm }) => vm)];
  };

  /** Nothing follows from a list that was read before, unless a VM missing from it is waited for. */
  const needsUpdate = (next: Vm[]): boolean => {
    if (next !== lastList) return true;
    const names = new Set(next.map(({ name }) => name));
    return vms.some(({ name }) => !names.has(name));
  };

  const handleList = (next: Vm[]): void => {
    if (!needsUpdate(next)) {
      metrics.count('vm_list_unchanged');
      closeIdleRemoved();
      return;
    }
    lastList = next;
    applyVms(reconcileWithLinks(next));
  };

  /** An outage of the list is no reason to drop upstreams that still answer. */
  const refresh = async (): Promise<boolean> => {
    const result = await list.list();
    if (stopped) return true;
    if (result.ok !== listReachable) log.warn(`VM list ${result.ok ? 'reachable' : 'unreachable'}`);
    listReachable = result.ok;
    if (result.ok) handleList(result.value);
    else metrics.count('vm_list_failed', { kind: result.err.kind });
    return result.ok;
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
      const entries = [...listed.values(), ...removed];
      await Promise.all(entries.map((entry) => entry.client.close()));
    },
  };
};
