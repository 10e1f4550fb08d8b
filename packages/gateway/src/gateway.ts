/** The entry before upstreams that are reached directly: what it follows, serves and stops. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { NodeRecord, PublishNode } from '@plantaindrum/mirror';
import { createAdmission } from './admission/admission.js';
import { createReopening } from './admission/reopening.js';
import { createDoor } from './door.js';
import type { ListenAddress } from './door.js';
import { createIntentReader } from './intent/intent-order.js';
import { createRouteTable } from './intent/route-table.js';
import type { RouteTable } from './intent/route-table.js';
import { followEntryTopics } from './mesh/entry-topics.js';
import type { TopicsOfEntry } from './mesh/entry-topics.js';
import { createFollowedTopics } from './mesh/followed-topics.js';
import { createLoadTeller } from './mesh/load-share.js';
import { createMesh } from './mesh/mesh.js';
import type { Mesh } from './mesh/mesh.js';
import { createEndCheck, tryConnect } from './attempts/end-check.js';
import { createQuarantine } from './quarantine/index.js';
import { createReadinessDoor } from './readiness-door.js';
import { createRetryBudget } from './retry/budget.js';
import type { RetryLimits } from './retry/budget.js';
import { createRequestHandler } from './serving/serve-request.js';
import type { HeaderDialect, Intent, UpstreamRecord } from './types.js';
import { createDirectory } from './upstreams/directory.js';
import type { DecodeUpstream } from './upstreams/directory.js';
import { createRateLimits } from './upstreams/rate-limits.js';

/** Where an entry listens. */
export interface GatewayAddresses {
  callers: ListenAddress;
  readiness: ListenAddress;
  links: ListenAddress;
  metrics: ListenAddress & { path: string };
}

/** Bounds that the operators declare; they may change while the entry runs. */
export interface GatewayBounds {
  retries: RetryLimits;
  /** Time from the signal to stop until the process is ended, in milliseconds. */
  graceMs: number;
}

/** Options of `createGateway`. */
export interface GatewayOptions {
  self: NodeRecord;
  region: string;
  addresses: GatewayAddresses;
  seeds: readonly ListenAddress[];
  bounds: GatewayBounds;
  /** Callers' connections that are taken at once. */
  maxConnections: number;
  topics: TopicsOfEntry;
  publish: PublishNode;
  /** Writes to the topic of requests in quarantine; without a value the key is dropped. */
  publishQuarantine: (key: string, value: Uint8Array | undefined) => Promise<boolean>;
  /** Key of the intent in its topic. */
  intentKey: string;
  decodeIntent: (value: Uint8Array) => Intent | undefined;
  decodeUpstream: DecodeUpstream;
  dialect: HeaderDialect;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** A running entry. */
export interface Gateway {
  setBounds(bounds: GatewayBounds): void;
  /** Stops without cutting a request; resolves when nothing is under way or the grace is over. */
  stop(): Promise<void>;
}

/** After the signal to stop the balancer still sends new connections for two of its checks, in ms. */
const LISTEN_ON_MS = 3_200;
/** Kept free at the end of the grace, in ms, to end in order. */
const GRACE_SLACK_MS = 300;
const STOP_CHECK_MS = 50;
/** How often a caller that came before the first intent looks for it, in ms. */
const INTENT_CHECK_MS = 10;

/** Starts an entry; rejects when one of its addresses is in use. */
export const createGateway = async (options: GatewayOptions): Promise<Gateway> => {
  const { self, topics, clock, random, metrics, log } = options;
  let { bounds } = options;
  let table: RouteTable | undefined;
  let isStopping = false;
  let isClosing = false;

  // What is followed asks the mesh, and the mesh answers from the mirrors; the mesh comes last.
  let mesh: Mesh | undefined;
  const followed = createFollowedTopics({ mesh: () => mesh, clock, metrics, log });

  const quarantine = createQuarantine({
    tell: (news) => mesh?.tellCrashes(news),
    publish: options.publishQuarantine,
    clock,
    metrics,
    log,
  });
  const checkEnd = createEndCheck<UpstreamRecord>(
    (upstream) => quarantine.noteEnded(upstream, 'refused-connection'),
    (host, port) => tryConnect(host, port, clock),
    clock,
  );

  const directory = createDirectory({
    decode: options.decodeUpstream,
    dataCentre: self.dataCentre,
    onEnded: (upstream) => quarantine.noteEnded(upstream, 'started-again'),
    maxConnections: (service) => table?.service(service)?.maxConnections ?? Infinity,
    linkedShare: () => mesh?.linkedShare() ?? 1,
    logBackAt: () => followed.follower(topics.upstreams.name)?.logBackAt() ?? -Infinity,
    clock,
    random,
    metrics,
    log,
  });
  const rateLimits = createRateLimits({
    upstreams: directory.all,
    tell: (news) => mesh?.tellRates(news),
    metrics,
    log,
  });
  const admission = createAdmission(clock, log);
  const entries = (): number => mesh?.entries() ?? 1;
  const budget = createRetryBudget({ limits: () => bounds.retries, entries, clock });
  const reopening = createReopening({ clock, metrics, log });

  const untilIntent = async (waitMs: number): Promise<void> => {
    const until = clock.monotonic() + waitMs;
    while (!table && clock.monotonic() < until) await sleep(clock, INTENT_CHECK_MS);
  };

  const handle = createRequestHandler({
    dialect: options.dialect,
    directory,
    admission,
    budget,
    rateLimits,
    reopening,
    quarantine,
    checkEnd,
    entries,
    clock,
    random,
    metrics,
    log,
    isStopping: () => isStopping,
    isClosing: () => isClosing,
    table: () => table,
    untilIntent,
    intentAge: () => followed.follower(topics.intent.name)?.age() ?? Infinity,
  });

  const door = await createDoor({
    listen: options.addresses.callers,
    handle,
    maxConnections: options.maxConnections,
    metrics,
    log,
  });

  const intents = createIntentReader(options.decodeIntent);
  const takeIntent = (value: Uint8Array): void => {
    const intent = intents.read(value);
    if (!intent) {
      metrics.count('gateway_intent_unreadable');
      log.event('intent-unreadable', { bytes: value.length });
      return;
    }
    // Never back: an older version from a store or a peer that lags is left out.
    if (table && intent.version <= table.intent.version) return;
    table = createRouteTable(intent);
    door.limit(intent.limits);
    log.event('intent-in-force', { version: intent.version, routes: intent.routes.length });
  };

  const entryTopics = followEntryTopics({
    self,
    topics,
    followed,
    publish: options.publish,
    intentKey: options.intentKey,
    isNewerIntent: intents.isNewer,
    onIntent: takeIntent,
    onUpstream: directory.apply,
    onNodes: (nodes) => mesh?.setNodes(nodes),
    onQuarantine: quarantine.takeRecord,
    onQuarantineLost: quarantine.noteRestored,
    clock,
    log,
  });

  const ownCounts = (): Map<string, number> =>
    new Map(
      directory
        .all()
        .filter((upstream) => upstream.inFlight() > 0)
        .map((upstream) => [upstream.record.instance, upstream.inFlight()]),
    );
  const loadTeller = createLoadTeller({
    counts: ownCounts,
    tell: (share) => mesh?.shareLoad(share),
    clock,
  });

  mesh = await createMesh({
    self,
    region: options.region,
    listen: options.addresses.links,
    seeds: options.seeds,
    intentVersion: () => Math.trunc(table?.intent.version ?? -1),
    onPeerAhead: entryTopics.intent.hurry,
    onShare: directory.notePeerLoad,
    wholeShare: loadTeller.whole,
    onRateNews: rateLimits.takeNews,
    wholeRateNews: rateLimits.whole,
    onCrashNews: quarantine.takeNews,
    wholeCrashNews: quarantine.whole,
    onPush: (topic, push) => followed.follower(topic)?.takePush(push),
    onPeerGone: (peer) => {
      directory.all().forEach((upstream) => upstream.forgetPeer(peer));
      quarantine.forgetPeer(peer);
    },
    onPace: directory.notePace,
    recordsAfter: followed.recordsAfter,
    clock,
    random,
    metrics,
    log,
  });

  const isReady = (): boolean => !isStopping && table !== undefined && entryTopics.hasUpstreams();
  const readiness = await createReadinessDoor(
    options.addresses.readiness,
    options.addresses.metrics.path,
    isReady,
    metrics,
  );
  const metricsDoor = await createReadinessDoor(
    options.addresses.metrics,
    options.addresses.metrics.path,
    isReady,
    metrics,
  );

  const untilIdle = async (by: number): Promise<void> => {
    while (door.open() > 0 && clock.monotonic() < by) {
      await new Promise<void>((resolve) => {
        clock.after(STOP_CHECK_MS, resolve);
      });
    }
  };

  const stop = async (): Promise<void> => {
    isStopping = true;
    const now = clock.monotonic();
    log.event('stopping', { open: door.open(), graceMs: bounds.graceMs });
    const endBy = now + bounds.graceMs - GRACE_SLACK_MS;
    const listenMs = Math.min(LISTEN_ON_MS, bounds.graceMs / 2);
    await new Promise<void>((resolve) => {
      clock.after(listenMs, resolve);
    });
    isClosing = true;
    door.stopListening();
    await untilIdle(endBy);
    log.event('stopped', { cut: door.open() });
    followed.close();
    quarantine.close();
    entryTopics.close();
    readiness.close();
    metricsDoor.close();
    loadTeller.close();
    // Not waited for: a peer that has stopped reading would use up the rest of the grace.
    void mesh?.close();
    log.flush();
  };

  return {
    setBounds: (next) => {
      bounds = next;
    },
    stop,
  };
};
