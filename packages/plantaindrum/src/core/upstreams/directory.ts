/** The upstreams that this entry knows, from the platform's VM list, which lags, and its links. */

import type { Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';
import { createMembership, dialDelayMs } from '@plantaindrum/intent';
import type { FrameHandler, Link, LinkClient } from '@plantaindrum/link';
import type { Vm, VmListClient } from '@plantaindrum/service-clients';
import type { Upstream, UpstreamEventHandlers } from './upstream.js';
import { createUpstream } from './upstream.js';

/** Opens a link to an agent and keeps it connected until the result is closed. */
export type ConnectAgent = (
  vm: Vm,
  onLink: (link: Link) => FrameHandler,
) => Pick<LinkClient, 'close'>;

/** Directory of the upstreams of an entry. */
export interface UpstreamDirectory {
  /** Every listed upstream that this entry keeps a link to, whether or not the link is open. */
  upstreams(): Upstream[];
  /** Every VM of the current list, including entries. */
  vms(): Vm[];
  /** Reads the VM list once; false when the read failed. */
  refresh(): Promise<boolean>;
  /** Polls the VM list until `close`. */
  run(): Promise<void>;
  close(): Promise<void>;
}

/** Options of the upstream directory. */
export interface UpstreamDirectoryOptions {
  list: Pick<VmListClient, 'list'>;
  connect: ConnectAgent;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
  /** Called with each new list; the result tells whether this entry keeps a link to an upstream. */
  applyVmList: (vms: readonly Vm[]) => (vm: Vm) => boolean;
  /** Creates the handlers for the events of one upstream. */
  createEventHandlers: (vm: Vm) => UpstreamEventHandlers;
  /** Mean time between two reads of the list, in milliseconds. */
  intervalMs: number;
}

interface KnownUpstream {
  upstream: Upstream;
  client: Pick<LinkClient, 'close'>;
}

/** New links that an agent can accept per second without delaying requests. */
const AGENT_ACCEPTS_PER_SECOND = 200;

const vmKey = (vm: Vm): string => `${vm.name}@${vm.address}`;

/** Creates an empty directory. */
export const createUpstreamDirectory = (options: UpstreamDirectoryOptions): UpstreamDirectory => {
  const { list, connect, clock, random, metrics, log, intervalMs } = options;
  const pause = createPause(clock);
  const listed = new Map<string, KnownUpstream>();
  const removed = new Set<KnownUpstream>();
  const membership = createMembership<Vm>({ clock, metrics });
  let vms: Vm[] = [];
  let lastList: Vm[] = [];
  let listReachable = true;
  let stopped = false;

  /**
   * Spreads new links over time: when a data centre appears in the list, all entries would
   * otherwise connect to each of its agents at once.
   */
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
      membership.handleLinked(vm.name, instance);
      void link.closed.then(() => membership.handleUnlinked(vm.name, instance));
      return upstream.onLink(link);
    };
    listed.set(vmKey(vm), { upstream, client: connectAfterDelay(vm, onLink) });
    log.info(`upstream ${vm.name} at ${vm.address} added`);
  };

  const removeUpstream = (key: string, knownUpstream: KnownUpstream): void => {
    listed.delete(key);
    removed.add(knownUpstream);
    log.info(`upstream ${knownUpstream.upstream.vm().name} removed`);
  };

  /** A removed VM may still be serving: its link is closed after its last attempt has ended. */
  const closeIdleRemoved = (): void => {
    [...removed]
      .filter(({ upstream }) => upstream.outstanding() === 0)
      .forEach((knownUpstream) => {
        removed.delete(knownUpstream);
        void knownUpstream.client.close();
      });
  };

  const applyList = (next: Vm[]): void => {
    vms = next;
    const isWanted = options.applyVmList(next);
    const wanted = new Map(
      next.filter((vm) => vm.role === 'upstream' && isWanted(vm)).map((vm) => [vmKey(vm), vm]),
    );
    listed.forEach((knownUpstream, key) => {
      const vm = wanted.get(key);
      if (vm) knownUpstream.upstream.setVm(vm);
      else removeUpstream(key, knownUpstream);
    });
    wanted.forEach((vm, key) => {
      if (!listed.has(key)) addUpstream(vm);
    });
    closeIdleRemoved();
  };

  /** Keeps linked VMs that are missing from the list: it lags, and may have lost records. */
  const reconcileWithLinks = (next: Vm[]): Vm[] => {
    membership.applyList(next.filter(({ role }) => role === 'upstream'));
    const upstreams = membership
      .members()
      .filter(({ availability }) => availability !== 'forgotten');
    return [...next.filter(({ role }) => role === 'entry'), ...upstreams.map(({ vm }) => vm)];
  };

  /** An unchanged list needs no work, unless the removal of a missing VM is still pending. */
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
    applyList(reconcileWithLinks(next));
  };

  /** While the list is unreachable, the known upstreams are kept. */
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
    upstreams: () => [...listed.values()].map((knownUpstream) => knownUpstream.upstream),
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
      const knownUpstreams = [...listed.values(), ...removed];
      await Promise.all(knownUpstreams.map((knownUpstream) => knownUpstream.client.close()));
    },
  };
};
