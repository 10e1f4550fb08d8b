/** An entry that reaches its upstreams directly: assembles its parts, and starts and stops them. */

import { createExitCheck } from '@plantaindrum/exchange';
import { createAdmission } from './admission/admission.js';
import { createServiceOutages } from './admission/service-outages.js';
import { createStreamAdmission } from './admission/stream-admission.js';
import { createCallerServer } from './caller-server.js';
import { createEvacuations, excludeEvacuated } from './evacuation/evacuations.js';
import type { Gateway, GatewayOptions } from './gateway-options.js';
import { createRankGroups } from './groups/index.js';
import { createIntentReader } from './intent/intent-reader.js';
import { createIntentWait } from './intent/intent-wait.js';
import { createRouteTable } from './intent/route-table.js';
import type { RouteTable } from './intent/route-table.js';
import { createLifecycle } from './lifecycle/lifecycle.js';
import { shutDown } from './lifecycle/shutdown.js';
import { followEntryTopics } from './mesh/entry-topics.js';
import { createAgentRelay } from './mesh/agent-relay.js';
import { createFollowedTopics } from './mesh/followed-topics.js';
import { createLoadBroadcaster, inFlightCounts } from './mesh/load-broadcast.js';
import { createMesh } from './mesh/mesh.js';
import type { Mesh } from './mesh/mesh.js';
import { createAnswerSurvival } from './attempts/survival.js';
import { createQuarantine } from './quarantine/index.js';
import { createReadinessServer } from './readiness-server.js';
import { createRetryBudget } from './retry/budget.js';
import { createRequestHandler } from './serving/serve-request.js';
import type { UpstreamRecord } from './types.js';
import { createDirectory } from './upstreams/directory.js';
import { toWarmupBounds, WARMUP_WINDOW_MS } from './upstreams/warmup-limit.js';
import { createRateLimits } from './upstreams/rate-limits.js';

/** Time after the start within which upstreams may be missing from the list, in ms: they start as late as entries. */
const START_MS = 3_000;

/** Timing of the check after a failed attempt, in ms: a process may exit a moment after its connections have closed. */
const FAILURE_CHECK = { delayMs: 80, timeoutMs: 350 };

/** Starts an entry; rejects when one of its addresses is in use. */
export const createGateway = async (options: GatewayOptions): Promise<Gateway> => {
  const { self, topics, clock, random, metrics, log } = options;
  const observers = { clock, metrics, log };
  let { bounds } = options;
  let routeTable: RouteTable | undefined;
  const startedAt = clock.monotonic();
  const lifecycle = createLifecycle(clock);

  // The followed topics call the mesh, and the mesh reads from their mirrors; the mesh is created last.
  let mesh: Mesh | undefined;
  const { region } = options;
  const agentRelay = createAgentRelay({ self, region, clock, random, metrics, log });
  const followedTopics = createFollowedTopics({
    mesh: () => mesh,
    fetchRelayed: agentRelay.fetch,
    fetchAgentMirrors: agentRelay.fetchAgentMirrors,
    ...observers,
  });

  const entries = (): number => mesh?.entries() ?? 1;

  const quarantine = createQuarantine({
    node: self.node,
    broadcast: (update) => mesh?.broadcastQuarantine(update),
    publish: options.publishQuarantine,
    ...observers,
  });
  const checkExit = createExitCheck<UpstreamRecord>({
    ...FAILURE_CHECK,
    onExited: (upstream) => quarantine.handleEnd(upstream, 'refused-connection'),
    onAlive: quarantine.handleAlive,
    clock,
  });

  const evacuatedDataCentres = new Set<string>();
  const { groups, takeUp, ...rankGroups } = createRankGroups({
    broadcast: (update) => mesh?.broadcastGroups(update),
    turn: () => mesh?.lowerPeers() ?? 0,
    entries,
    random,
    ...observers,
  });
  const directory = createDirectory({
    decode: options.decodeUpstream,
    dataCentre: self.dataCentre,
    onExited: (upstream) => quarantine.handleEnd(upstream, 'started-again'),
    maxConnections: (service) => routeTable?.service(service)?.maxConnections ?? Infinity,
    connectedFraction: () => mesh?.connectedFraction() ?? 1,
    warmupBounds: (service) => toWarmupBounds(routeTable?.service(service)?.warmup, bounds.warmup),
    // An earlier process of this entry may have used its share just before its end, and what others have sent in the
    // last second is not known here.
    entrySharing: () =>
      clock.monotonic() - startedAt < WARMUP_WINDOW_MS ? undefined : mesh?.sharing(),
    exclusions: [excludeEvacuated(evacuatedDataCentres), rankGroups.exclusion],
    ...rankGroups.selection,
    logRecoveredAt: () => followedTopics.follower(topics.upstreams.name)?.logBackAt() ?? -Infinity,
    random,
    ...observers,
  });
  rankGroups.setUpstreams(directory.all);
  const rateLimits = createRateLimits({
    upstreams: directory.all,
    broadcast: (update) => mesh?.broadcastRateLimits(update),
    metrics,
    log,
  });
  const survival = createAnswerSurvival({
    dialect: options.dialect,
    healthPath: (service) => routeTable?.service(service)?.healthPath,
    onExited: (upstream) => quarantine.handleEnd(upstream, 'refused-connection'),
    onWarmup: rateLimits.recordHealth,
    ...observers,
  });
  const admission = createAdmission(clock, log);
  const streamAdmission = createStreamAdmission({
    directory,
    routeTable: () => routeTable,
    groups: {
      nameOf: (upstream) => groups.groupOf(upstream)?.name,
      openForMs: (upstream) =>
        clock.monotonic() - (groups.groupOf(upstream)?.state.since() ?? -Infinity),
    },
    entries,
    connectedFraction: () => mesh?.connectedFraction() ?? 1,
    clock,
    random,
    metrics,
  });
  const budget = createRetryBudget({
    limits: () => bounds.retries,
    entries,
    startedAt,
    clock,
  });
  const outages = createServiceOutages({ clock, metrics, log });
  const intentAgeMs = (): number => followedTopics.follower(topics.intent.name)?.age() ?? Infinity;
  const evacuations = createEvacuations({
    decode: options.decodeEvacuation,
    dataCentres: evacuatedDataCentres,
    upstreams: directory.all,
    intentAgeMs,
    boundMs: () => bounds.evacuateMs,
    // Callers that wait for a service whose upstreams are all excluded now are refused instead.
    onRequested: () =>
      routeTable?.intent.services
        .filter(({ name }) => directory.excludedReason(name) === 'evacuated')
        .forEach(({ name }) => [outages, takeUp].forEach((waiting) => waiting.release(name))),
    ...observers,
  });

  const handle = createRequestHandler({
    dialect: options.dialect,
    directory,
    admission,
    streamAdmission,
    budget,
    rateLimits,
    outages,
    groups,
    takeUp,
    quarantine,
    checkExit,
    survival,
    entries,
    random,
    ...observers,
    isStarting: () => clock.monotonic() - startedAt < START_MS,
    lifecycle,
    routeTable: () => routeTable,
    waitForIntent: createIntentWait(() => routeTable !== undefined, clock),
    intentAgeMs,
  });

  const callerServer = await createCallerServer({
    listen: options.addresses.callers,
    handle,
    maxConnections: options.maxConnections,
    metrics,
    log,
  });

  const intentReader = createIntentReader(options.decodeIntent, options.intentKey);
  const applyIntent = (value: Uint8Array): void => {
    const intent = intentReader.read(value);
    if (!intent) {
      metrics.count('gateway_intent_unreadable');
      log.event('intent-unreadable', { bytes: value.length });
      return;
    }
    // An older version, from a store or a peer that lags behind, is ignored.
    if (routeTable && intent.version <= routeTable.intent.version) return;
    routeTable = createRouteTable(intent);
    callerServer.setLimits(intent.limits);
    log.event('intent-in-force', { version: intent.version, routes: intent.routes.length });
  };

  const entryTopics = followEntryTopics({
    self,
    topics,
    followed: followedTopics,
    publish: options.publish,
    intentKey: options.intentKey,
    isNewerIntent: intentReader.isNewer,
    onIntent: applyIntent,
    onOperatorKey: evacuations.apply,
    onUpstream: directory.apply,
    onNodes: (nodes) => {
      mesh?.setNodes(nodes);
      agentRelay.setNodes(nodes);
      groups.setNodes(nodes);
    },
    onQuarantine: quarantine.applyRecord,
    onQuarantineLost: quarantine.handleRestored,
    clock,
    log,
  });

  const loadBroadcaster = createLoadBroadcaster({
    counts: () => inFlightCounts(directory.all()),
    waiting: streamAdmission.waiting,
    broadcast: (share) => mesh?.broadcastLoad(share),
    clock,
  });

  mesh = await createMesh({
    self,
    region,
    listen: options.addresses.links,
    seeds: options.seeds,
    intentVersion: () => Math.trunc(routeTable?.intent.version ?? -1),
    onPeerAhead: entryTopics.intent.fetchNow,
    onLoadUpdate: (peer, update) => {
      directory.applyPeerLoad(peer, update);
      if (update.waiting || update.isWhole) {
        streamAdmission.applyPeerWaiting(peer, update.waiting ?? {});
      }
    },
    fullLoadUpdate: loadBroadcaster.fullUpdate,
    onRateLimitUpdate: rateLimits.applyUpdate,
    fullRateLimitUpdate: rateLimits.snapshot,
    onQuarantineUpdate: quarantine.handlePeerUpdate,
    fullQuarantineUpdate: quarantine.fullUpdate,
    onGroupReport: groups.applyReport,
    onGroupUpdate: groups.applyUpdate,
    fullGroupUpdate: groups.fullUpdate,
    onPush: (peer, topic, push) => followedTopics.follower(topic)?.handlePush(push, peer),
    onPeerLost: (peer) => {
      directory.all().forEach((upstream) => upstream.forgetPeer(peer));
      quarantine.forgetPeer(peer);
      streamAdmission.forgetPeer(peer);
    },
    onEngineSlowdown: directory.recordSlowdown,
    recordsAfter: followedTopics.recordsAfter,
    random,
    ...observers,
  });

  const isReady = (): boolean =>
    !lifecycle.isStopping() && routeTable !== undefined && entryTopics.hasUpstreams();
  const { path } = options.addresses.metrics;
  const readinessServers = await Promise.all(
    [options.addresses.readiness, options.addresses.metrics].map((address) =>
      createReadinessServer(address, path, isReady, metrics),
    ),
  );

  const closeAll = (): void => {
    followedTopics.close();
    quarantine.close();
    survival.close();
    evacuations.close();
    entryTopics.close();
    readinessServers.forEach((server) => server.close());
    loadBroadcaster.close();
    streamAdmission.close();
    // Not awaited: a peer that has stopped reading would use up the rest of the grace period.
    void mesh?.close();
  };
  const stop = (): Promise<void> => {
    const { graceMs } = bounds;
    const { openRequests, stopListening } = callerServer;
    return shutDown({ graceMs, lifecycle, openRequests, stopListening, closeAll, clock, log });
  };

  return {
    setBounds: (next) => {
      bounds = next;
    },
    stop,
  };
};
