/** An agent: the queue, the upstream and the links of entries put together. */

import { randomBytes } from 'node:crypto';
import type { AgentSettings, Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { LinkLimits, Load, NodeStatus } from '@plantaindrum/link';
import { createLinkServer, defaultLinkLimits, NODE_STATUS } from '@plantaindrum/link';
import { createAgentQueue, createAttemptLedger } from '@plantaindrum/requests';
import type { DeskLimits } from './attempts/desk.js';
import { createAttemptDesk } from './attempts/desk.js';
import { runAttempt } from './attempts/run-attempt.js';
import type { QueuedAttempt } from './attempts/types.js';
import { createEntries } from './entries.js';
import { openOperatorsDoor } from './operators/door.js';
import { createUpstream } from './upstream/upstream.js';

const UNDELIVERED_FOR_EACH_SLOT = 8;

const defaultDeskLimits = { rememberMs: 60_000, most: 4_096, graceMs: 5_000 };

/** What an agent needs besides its settings. */
export interface AgentOptions {
  settings: AgentSettings;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
  deskLimits?: Partial<DeskLimits>;
  linkLimits?: LinkLimits;
}

/** A running agent. */
export interface Agent {
  /** Addresses of its doors, as the ready line gives them. */
  readonly operators: string;
  readonly link: string;
  /** Hands back what hasn't started, finishes what runs, then closes. */
  stop(): Promise<void>;
}

/** Starts an agent; rejects when an address can't be listened on. */
export const startAgent = async (options: AgentOptions): Promise<Agent> => {
  const { settings, clock, random, metrics, log } = options;
  const { node, limits } = settings;
  const { concurrency } = limits;
  const instance = randomBytes(8).toString('hex');
  const upstream = createUpstream(settings.upstream.url);
  const queue = createAgentQueue<QueuedAttempt>({
    clock,
    random,
    capacity: limits.queue,
    concurrency,
  });
  const intentOffset = (): number => -1;

  const load = (): Load => {
    const { queued, running, drainPerSecond, leaving } = queue.load();
    return { queued, running, drainPerSecond, leaving };
  };

  const desk = createAttemptDesk({
    queue,
    ledger: createAttemptLedger(),
    run: (attempt, work, begin) => runAttempt(attempt, work, begin, { upstream, metrics }),
    load,
    limits: {
      ...defaultDeskLimits,
      concurrency,
      mostUndelivered: concurrency * UNDELIVERED_FOR_EACH_SLOT,
      ...options.deskLimits,
    },
    clock,
    metrics,
  });
  const entries = createEntries({ desk, metrics, log });

  const nodeStatus = async (): Promise<NodeStatus> => {
    const { queued, running } = queue.load();
    return { inFlight: queued + running };
  };

  const status = (): unknown => ({
    role: 'agent',
    node,
    instance,
    upstream: settings.upstream,
    load: load(),
    attempts: desk.counts(),
    entries: entries.count(),
    intent: { offset: intentOffset() },
  });

  const links = await createLinkServer({
    listen: settings.link,
    identity: {
      role: 'agent',
      node: node.name,
      instance,
      dataCentre: node.dataCentre,
      region: node.region,
    },
    intentOffset,
    load,
    limits: {
      ...defaultLinkLimits,
      ...options.linkLimits,
      frameBytes: limits.frameBytes,
      connections: limits.connections,
    },
    handlers: { [NODE_STATUS]: nodeStatus },
    onLink: entries.onLink,
    clock,
    metrics,
    log: log.child('link'),
  });
  const door = await openOperatorsDoor({
    listen: settings.operators,
    token: settings.operators.token,
    connections: limits.connections,
    ready: () => !queue.load().leaving,
    metrics: metrics.exposition,
    status,
    intent: () => ({ offset: intentOffset() }),
  });

  const stop = async (): Promise<void> => {
    log.info('leaving: no new work');
    entries.leave();
    desk.leave();
    await desk.idle();
    await links.close();
    desk.close();
    await Promise.all([door.close(), upstream.close()]);
  };

  return {
    operators: door.url,
    link: `${links.address.host}:${links.address.port}`,
    stop,
  };
};
