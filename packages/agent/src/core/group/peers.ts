/** Finds the other agents of an expert group in the VM list and keeps links with them. */

import type { Clock, Metrics, Random, Result } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';
import type { GroupPeer, PeerCall } from '@plantaindrum/experts';
import type { Link, LinkClient } from '@plantaindrum/link';
import type { PlatformFailure, Vm } from '@plantaindrum/service-clients';

/** Interval of list reads while a rank has no reachable agent. */
const SEARCH_INTERVAL_MS = 1_000;
/** Interval of list reads otherwise. */
const REFRESH_INTERVAL_MS = 30_000;

/** Options of `createGroupPeers`. */
export interface GroupPeersOptions {
  group: string;
  self: GroupPeer;
  rankCount: number;
  list: () => Promise<Result<Vm[], PlatformFailure>>;
  /** Connects to an agent and reconnects when the link is lost; each link is passed to `onLink`. */
  connect: (address: { host: string; port: number }) => LinkClient;
  clock: Clock;
  random: Random;
  metrics: Metrics;
}

/** The peers of a group. */
export interface GroupPeers {
  /** The agents of the group in the latest VM list, including this one. */
  members(): readonly GroupPeer[];
  /** The model that the group serves; undefined until the list has shown this agent's VM. */
  model(): string | undefined;
  call: PeerCall;
  /** Registers a link with another agent, opened by either side. */
  onLink(link: Link): void;
  close(): Promise<void>;
}

interface DialledPeer {
  address: string;
  client: LinkClient;
}

const parseAddress = (address: string): { host: string; port: number } => {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};

/** Starts to search for the peers of a group. */
export const createGroupPeers = (options: GroupPeersOptions): GroupPeers => {
  const { group, self, rankCount, clock, random, metrics } = options;
  const pause = createPause(clock);
  const links = new Map<string, Link>();
  const dialled = new Map<string, DialledPeer>();
  let otherVms: Vm[] = [];
  let model: string | undefined;
  let closed = false;

  const members = (): GroupPeer[] => [
    self,
    ...otherVms.map(({ name, ranks }) => ({ node: name, ranks: ranks ?? [] })),
  ];

  const allRanksReachable = (): boolean => {
    const reachable = members().filter(({ node }) => node === self.node || links.has(node));
    return new Set(reachable.flatMap(({ ranks }) => ranks)).size >= rankCount;
  };

  /** In each pair only the node whose name sorts first dials, so that there is one link, not two. */
  const shouldDial = ({ name }: Vm): boolean => self.node < name;

  const dial = ({ name, address }: Vm): void => {
    const existing = dialled.get(name);
    if (existing?.address === address) return;
    void existing?.client.close();
    dialled.set(name, { address, client: options.connect(parseAddress(address)) });
  };

  const dropUnlisted = (): void => {
    const listed = new Set(otherVms.map(({ name }) => name));
    [...dialled].forEach(([name, { client }]) => {
      if (listed.has(name)) return;
      dialled.delete(name);
      void client.close();
    });
  };

  const refresh = async (): Promise<void> => {
    const listed = await options.list();
    if (closed) return;
    if (!listed.ok) {
      metrics.count('vm_list_failed', { kind: listed.err.kind });
      return;
    }
    model = listed.value.find(({ name }) => name === self.node)?.model ?? model;
    otherVms = listed.value.filter((vm) => vm.group === group && vm.name !== self.node);
    otherVms.filter(shouldDial).forEach(dial);
    dropUnlisted();
  };

  // The list is long in a large fleet, so it is read often only while a rank has no reachable agent.
  const refreshLoop = async (): Promise<void> => {
    while (!closed) {
      await refresh();
      await pause.wait(
        (allRanksReachable() ? REFRESH_INTERVAL_MS : SEARCH_INTERVAL_MS) * (0.5 + random()),
      );
    }
  };

  const onLink = (link: Link): void => {
    const { node } = link.peer;
    links.set(node, link);
    void link.closed.then(() => {
      if (links.get(node) === link) links.delete(node);
      pause.end();
    });
  };

  const task = refreshLoop();

  return {
    members,
    model: () => model,
    call: async (node, method, args, timeoutMs) => {
      const link = links.get(node);
      return link ? link.call(method, args, timeoutMs) : { outcome: 'lost' };
    },
    onLink,
    close: async () => {
      closed = true;
      pause.end();
      await task;
      await Promise.all([...dialled.values()].map(({ client }) => client.close()));
    },
  };
};
