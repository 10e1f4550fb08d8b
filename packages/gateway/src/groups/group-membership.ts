/** Which rank group an upstream belongs to, from the node records of the agents beside the engines. */

import type { NodeRecord } from '@plantaindrum/mirror';

/** An upstream's address, as node records name it. */
export interface EngineAddress {
  host: string;
  port: number;
}

/** Groups of upstreams by address. */
export interface GroupMembership {
  /** Applies the published node records. */
  setNodes(nodes: readonly NodeRecord[]): void;
  /** Name of the group that the engine at this address belongs to; undefined if none is known. */
  groupAt(address: EngineAddress): string | undefined;
  /** Number of known ranks of a group. */
  size(group: string): number;
  /** Number of known groups, of any service. */
  count(): number;
  /** Increases with each change, for caches of derived values. */
  version(): number;
}

/** Maximum number of addresses that are kept; bounds the memory. */
const MAX_ADDRESSES = 4_096;

/**
 * Creates a membership without groups. An address keeps its group after the record of its agent is gone: the engine
 * may be running when its agent, or the agents of a whole data centre, are lost.
 */
export const createGroupMembership = (): GroupMembership => {
  const byHost = new Map<string, Map<number, string>>();
  const sizes = new Map<string, number>();
  let addresses = 0;
  let version = 0;

  const add = (host: string, port: number, group: string): void => {
    const ports = byHost.get(host) ?? new Map<number, string>();
    const before = ports.get(port);
    if (before === group || (before === undefined && addresses >= MAX_ADDRESSES)) return;
    if (before === undefined) addresses += 1;
    else sizes.set(before, (sizes.get(before) ?? 1) - 1);
    byHost.set(host, ports.set(port, group));
    sizes.set(group, (sizes.get(group) ?? 0) + 1);
    version += 1;
  };

  return {
    setNodes: (nodes) =>
      nodes.forEach(({ role, group }) => {
        if (role === 'agent' && group) add(group.engineHost, group.enginePort, group.name);
      }),
    groupAt: ({ host, port }) => byHost.get(host)?.get(port),
    size: (group) => sizes.get(group) ?? 0,
    count: () => sizes.size,
    version: () => version,
  };
};
