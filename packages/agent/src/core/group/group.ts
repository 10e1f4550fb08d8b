/** This agent's part in its expert group: a member, and a coordinator that stands by. */

import type { AgentSettings, Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { ExpertMethod, GroupTimings, Weighs } from '@plantaindrum/experts';
import { createCoordinator, createGroupMember, EXPERT_METHODS } from '@plantaindrum/experts';
import type { CallHandler, Link, LinkClient } from '@plantaindrum/link';
import type { Log, VmListClient } from '@plantaindrum/service-clients';
import { createEngineOrderClient } from '@plantaindrum/service-clients';
import { createEnginePort } from './engine-port.js';
import { createGroupPeers } from './peers.js';

/** What an agent needs to take part in its group. */
export interface ExpertGroupOptions {
  node: AgentSettings['node'];
  instance: string;
  upstream: AgentSettings['upstream'];
  vmList: VmListClient;
  platformLog: Log;
  /** Starts to keep another agent linked. */
  connect: (address: { host: string; port: number }) => LinkClient;
  /** The operator's word, declared by group or by model; undefined when there is none. */
  weighs: (name: string) => Weighs | undefined;
  /** False while live traffic needs the VM. */
  mayMove: () => boolean;
  timings?: Partial<GroupTimings>;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
}

/** The agent's part in its group. */
export interface ExpertGroup {
  /** Link calls of the group, by method. */
  handlers: Record<string, CallHandler>;
  /** Starts the tasks of member and coordinator. */
  run(): void;
  /** Takes each link with another agent. */
  onLink(link: Link): void;
  status(): unknown;
  close(): Promise<void>;
}

/** Creates the agent's part; undefined for an upstream without a group. */
export const createExpertGroup = (options: ExpertGroupOptions): ExpertGroup | undefined => {
  const { node, instance, upstream, clock, random, metrics, log } = options;
  const { group, ranks, layout } = upstream;
  if (group === undefined) return undefined;
  if (layout === undefined) {
    log.warn(`group ${group}: no layout in the settings, so its maps are left alone`);
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
