/** An agent: the queue, the upstream, the links, the intent and the expert group put together. */

import { randomBytes } from 'node:crypto';
import type { AgentSettings, Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { GroupTimings } from '@plantaindrum/experts';
import type { IntentNode } from '@plantaindrum/intent';
import { createIntentReader, isStopped, joinIntentToLinks } from '@plantaindrum/intent';
import type { Dispatch, Link, LinkLimits, Load } from '@plantaindrum/link';
import { NODE_STATUS } from '@plantaindrum/link';
import type { Log } from '@plantaindrum/platform';
import { createLogClient, createVmListClient } from '@plantaindrum/platform';
import type { AgentQueue, Claims } from '@plantaindrum/requests';
import { createAgentQueue, createAttemptLedger, createClaims } from '@plantaindrum/requests';
import type { DeskLimits } from './attempts/desk.js';
import { createAttemptDesk } from './attempts/desk.js';
import { runAttempt } from './attempts/run-attempt.js';
import { createKeyedRunner } from './attempts/run-keyed.js';
import type { AttemptRunner, QueuedAttempt } from './attempts/types.js';
import { createEntries } from './entries.js';
import { createExpertGroup } from './group/group.js';
import { createAgentLinks } from './links.js';
import { openOperatorsDoor } from './operators/door.js';
import { agentStatus } from './status.js';
import { engineBody } from './upstream/engine-body.js';
import type { Upstream } from './upstream/upstream.js';
import { createUpstream } from './upstream/upstream.js';

/** Longest wait for the ends of keyed calls to reach the log when the agent stops. */
const CLAIMS_FLUSH_MS = 3_000;
const UNDELIVERED_FOR_EACH_SLOT = 8;

const defaultDeskLimits = {
  rememberMs: 60_000,
  most: 4_096,
  graceMs: 5_000,
  heldBytes: 67_108_864,
};

/** What an agent needs besides its settings. */
export interface AgentOptions {
  settings: AgentSettings;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
  deskLimits?: Partial<DeskLimits>;
  linkLimits?: Partial<LinkLimits>;
  groupTimings?: Partial<GroupTimings>;
}

/** A running agent. */
export interface Agent {
  /** Addresses of its doors, as the ready line gives them. */
  readonly operators: string;
  readonly link: string;
  /** Hands back what hasn't started, finishes what runs, then closes. */
  stop(): Promise<void>;
}

const createIntent = (options: AgentOptions, log: Log): IntentNode => {
  const { clock, random, metrics } = options;
  const logger = options.log.child('intent');
  return createIntentReader({ log, clock, random, metrics, logger, follow: 'peers' });
};

const createQueue = ({ settings, clock, random }: AgentOptions): AgentQueue<QueuedAttempt> => {
  const { queue: capacity, concurrency } = settings.limits;
  return createAgentQueue({ clock, random, capacity, concurrency });
};

/** An engine says so when it is full or not up; a plain service's statuses are its own answers. */
const ENGINE_REFUSALS = [429, 503];

const createRunner = (
  { settings, clock, metrics }: AgentOptions,
  upstream: Upstream,
  queue: AgentQueue<QueuedAttempt>,
  claims: Claims,
): AttemptRunner => {
  const bodyOf = settings.upstream.kind === 'model' ? engineBody : ({ body }: Dispatch) => body;
  const refusals = settings.upstream.kind === 'model' ? ENGINE_REFUSALS : [];
  const parts = { upstream, bodyOf, refusals, metrics, onFirstByte: queue.answering };
  const runKeyed = createKeyedRunner({
    claims,
    run: (attempt, work, begin, observe) => runAttempt(attempt, work, begin, { ...parts, observe }),
    clock,
  });
  return (attempt, work, begin) =>
    work.idempotency
      ? runKeyed(attempt, work, work.idempotency, begin)
      : runAttempt(attempt, work, begin, parts);
};

interface DeskParts {
  run: AttemptRunner;
  queue: AgentQueue<QueuedAttempt>;
  load: () => Load;
  isClosedTo: (entry: Link) => boolean;
}

const createDesk = (options: AgentOptions, parts: DeskParts) => {
  const { clock, metrics } = options;
  const { concurrency } = options.settings.limits;
  const { run, queue, load, isClosedTo } = parts;
  return createAttemptDesk({
    queue,
    ledger: createAttemptLedger(),
    run,
    load,
    isClosedTo,
    limits: {
      ...defaultDeskLimits,
      concurrency,
      mostUndelivered: concurrency * UNDELIVERED_FOR_EACH_SLOT,
      ...options.deskLimits,
    },
    clock,
    metrics,
  });
};

/** Starts an agent; rejects when an address can't be listened on. */
export const startAgent = async (options: AgentOptions): Promise<Agent> => {
  const { settings, clock, random, metrics, log } = options;
  const { node, platform } = settings;
  const instance = randomBytes(8).toString('hex');

  const platformLog = createLogClient({ url: platform.logUrl, client: node.name });
  const vmList = createVmListClient({ url: platform.vmListUrl, client: node.name });
  const upstream = createUpstream(settings.upstream.url);
  const intent = createIntent(options, platformLog);
  const queue = createQueue(options);
  const claims = createClaims({ clock, log: platformLog, metrics, instance });
  const run = createRunner(options, upstream, queue, claims);

  const load = (): Load => {
    const { queued, running, drainPerSecond, leaving } = queue.load();
    return { queued, running, drainPerSecond, leaving };
  };
  // Agents stop last: the entries of a data centre that is being stopped still finish their work.
  const isClosedTo = (entry: Link): boolean =>
    entry.peer.dataCentre !== node.dataCentre &&
    isStopped(intent.current().document, node.dataCentre);
  const isReady = (): boolean => intent.freshness().caughtUp && !load().leaving;

  const desk = createDesk(options, { run, queue, load, isClosedTo });
  const entries = createEntries({ desk, isLeaving: () => load().leaving, metrics, log });
  const links = createAgentLinks({
    settings,
    instance,
    intent: joinIntentToLinks(intent),
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
    mayMove: () => queue.load().queued === 0,
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
      desk,
      entries: entries.count,
      intent,
      group: () => group?.status(),
    });
  links.serve({ ...group?.handlers, [NODE_STATUS]: async () => status() });
  if (group) links.onAgent(group.onLink);

  const server = await links.listen();
  const door = await openOperatorsDoor({
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
    log.info('leaving: no new work');
    desk.leave();
    entries.announceLeaving();
    await desk.idle();
    await claims.flush(CLAIMS_FLUSH_MS);
    claims.close();
    await group?.close();
    await server.close();
    desk.close();
    await intent.close();
    await Promise.all([door.close(), upstream.close(), platformLog.close(), vmList.close()]);
  };

  const { host, port } = server.address;
  return { operators: door.url, link: `${host}:${port}`, stop };
};
