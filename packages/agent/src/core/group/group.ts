/** Takes part in the agent's expert group, as a member and as a standby coordinator. */

import type { AgentSettings, Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { ExpertMethod, GroupTimings, RebalancingPriority } from '@plantaindrum/experts';
import { createCoordinator, createGroupMember, EXPERT_METHODS } from '@plantaindrum/experts';
import type { CallHandler, Link, LinkClient } from '@plantaindrum/link';
import type { Log, VmListClient } from '@plantaindrum/service-clients';
import { createEngineOrderClient } from '@plantaindrum/service-clients';
import { createEnginePort } from './engine-port.js';
import { createGroupPeers } from './peers.js';

/** Options of `createExpertGroup`. */
export interface ExpertGroupOptions {
  node: AgentSettings['node'];
  instance: string;
  upstream: AgentSettings['upstream'];
  vmList: VmListClient;
  platformLog: Log;
  /** Connects to another agent and reconnects when the link is lost. */
  connect: (address: { host: string; port: number }) => LinkClient;
  /** The balancing criterion that operators declared for a group or model; undefined if none. */
  weighs: (name: string) => RebalancingPriority | undefined;
  /** Whether experts may be moved; false while live traffic needs the VM. */
  mayMove: () => boolean;
  timings?: Partial<GroupTimings>;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
}

/** Membership of the agent in its expert group. */
export interface ExpertGroup {
  /** Handlers of the group's link calls, by method. */
  handlers: Record<string, CallHandler>;
  /** Starts the tasks of member and coordinator. */
  run(): void;
  /** Registers a link with another agent. */
  onLink(link: Link): void;
  status(): unknown;
  close(): Promise<void>;
}

/** Creates the membership; undefined for an upstream without a group or without a layout. */
export const createExpertGroup = (options: ExpertGroupOptions): ExpertGroup | undefined => {
  const { node, instance, upstream, clock, random, metrics, log } = options;
  const { group, ranks, layout } = upstream;
  if (group === undefined) return undefined;
  if (layout === undefined) {
    log.warn(`group ${group}: no layout in the settings, so its expert maps are not managed`);
    return undefined;
  }

  const engineClient = createEngineOrderClient({ url: upstream.url, client: node.name });
  const peers = createGroupPeers({
    group,
    self: { node: node.name, ranks },
    rankCount: layout.rankCount,
    list: options.vmList.list,
    connect: options.connect,
    clock,
    random,
    metrics,
  });
  const sharedOptions = {
    group,
    node: node.name,
    instance,
    members: peers.members,
    call: peers.call,
    log: options.platformLog,
    clock,
    random,
    metrics,
    logger: log,
    timings: { planMs: layout.planMs, ...options.timings },
  };
  const member = createGroupMember({
    ...sharedOptions,
    rankCount: layout.rankCount,
    ranks,
    engine: createEnginePort(engineClient),
  });
  const coordinator = createCoordinator({
    ...sharedOptions,
    member,
    layout,
    weighs: () => options.weighs(group) ?? options.weighs(peers.model() ?? group) ?? 'skew',
    mayMove: options.mayMove,
  });

  const handlerEntry = (method: ExpertMethod): [string, CallHandler] => [
    method,
    (args) => member.serve(method, args),
  ];

  return {
    handlers: Object.fromEntries(EXPERT_METHODS.map(handlerEntry)),
    run: () => {
      void member.run();
      void coordinator.run();
    },
    onLink: peers.onLink,
    status: () => ({ ...member.status(), coordinator: coordinator.status() }),
    close: async () => {
      coordinator.close();
      member.close();
      await peers.close();
      await engineClient.close();
    },
  };
};
