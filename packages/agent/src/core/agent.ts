/** Assembles an agent: queue, upstream, links, intent and expert group. */

import { randomBytes } from 'node:crypto';
import type { AgentSettings, Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { GroupTimings } from '@plantaindrum/experts';
import type { IntentNode } from '@plantaindrum/intent';
import { createIntentReader, isStopped, createIntentLinks } from '@plantaindrum/intent';
import type { Link, LinkLimits } from '@plantaindrum/link';
import { NODE_STATUS } from '@plantaindrum/link';
import type { Log } from '@plantaindrum/service-clients';
import { createLogClient, createVmListClient } from '@plantaindrum/service-clients';
import type { AttemptLimits } from './attempts/attempt-manager.js';
import { createServing } from './attempts/serving.js';
import { createEntries } from './entries.js';
import { createExpertGroup } from './group/group.js';
import { createAgentLinks } from './links.js';
import { createOperatorServer } from './operators/operator-server.js';
import { agentStatus } from './status.js';

/** Options of `startAgent`. */
export interface AgentOptions {
  settings: AgentSettings;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
  attemptLimits?: Partial<AttemptLimits>;
  linkLimits?: Partial<LinkLimits>;
  groupTimings?: Partial<GroupTimings>;
}

/** A running agent. */
export interface Agent {
  /** Addresses of its servers, as printed in the ready line. */
  readonly operators: string;
  readonly link: string;
  /** Returns queued requests as "not run", finishes running ones, then closes. */
  stop(): Promise<void>;
}

const createIntent = (options: AgentOptions, log: Log): IntentNode => {
  const { clock, random, metrics } = options;
  const logger = options.log.child('intent');
  return createIntentReader({ log, clock, random, metrics, logger, follow: 'peers' });
};

/** Starts an agent; rejects if it can't listen on an address. */
export const startAgent = async (options: AgentOptions): Promise<Agent> => {
  const { settings, clock, random, metrics, log } = options;
  const { node, platform } = settings;
  const instance = randomBytes(8).toString('hex');

  const platformLog = createLogClient({ url: platform.logUrl, client: node.name });
  const vmList = createVmListClient({ url: platform.vmListUrl, client: node.name });
  const intent = createIntent(options, platformLog);

  // Agents of a stopping data centre still serve its own entries, which have requests to finish.
  const refusesEntry = (entry: Link): boolean =>
    entry.peer.dataCentre !== node.dataCentre &&
    isStopped(intent.current().document, node.dataCentre);
  const serving = createServing({ ...options, instance, platformLog, refusesEntry });
  const { attemptManager, load } = serving;
  const isReady = (): boolean => intent.freshness().caughtUp && !load().leaving;

  const entries = createEntries({ attemptManager, isLeaving: () => load().leaving, metrics, log });
  const links = createAgentLinks({
    settings,
    instance,
    intent: createIntentLinks(intent),
    load,
    onEntry: entries.onLink,
    ...(options.linkLimits && { limits: options.linkLimits }),
    clock,
    random,
    metrics,
    log: log.child('link'),
  });
  const group = createExpertGroup({
    node,
    instance,
    upstream: settings.upstream,
    vmList,
    platformLog,
    connect: links.connect,
    weighs: (name) => intent.current().document.balance[name]?.weighs,
    mayMove: () => load().queued === 0,
    ...(options.groupTimings && { timings: options.groupTimings }),
    clock,
    random,
    metrics,
    log: log.child('group'),
  });
  const status = () =>
    agentStatus({
      settings,
      instance,
      ready: isReady,
      load,
      attemptManager,
      entries: entries.count,
      intent,
      group: () => group?.status(),
    });
  links.addHandlers({ ...group?.handlers, [NODE_STATUS]: async () => status() });
  if (group) links.onAgentLink(group.onLink);

  const server = await links.listen();
  const operatorServer = await createOperatorServer({
    listen: settings.operators,
    token: settings.operators.token,
    connections: settings.limits.connections,
    ready: isReady,
    metrics: metrics.exposition,
    status,
    intent: intent.current,
  });
  group?.run();

  const stop = async (): Promise<void> => {
    log.info('draining: new requests are refused');
    const drained = serving.drain();
    entries.announceLeaving();
    await drained;
    await group?.close();
    await server.close();
    await serving.close();
    await intent.close();
    await Promise.all([operatorServer.close(), platformLog.close(), vmList.close()]);
  };

  const { host, port } = server.address;
  return { operators: operatorServer.url, link: `${host}:${port}`, stop };
};
