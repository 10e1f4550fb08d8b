/**
 * The agent beside one rank of an expert group: its member, its links and, while its rank is the
 * lowest linked one, the group's coordinator.
 */

import { createPause, isObject, sleep } from '@plantaindrum/common';
import { createPublisher, createAgentMirror } from '@plantaindrum/mirror';
import type { Follower, NodeRecord, Publisher, RankRecord } from '@plantaindrum/mirror';
import { createCoordinator } from './coordinator.js';
import type { Coordinator } from './coordinator-options.js';
import { createEngineFinder } from './engine-finder.js';
import { createEntryReports } from './links/entry-reports.js';
import { followNodes } from './links/follow-nodes.js';
import { createMirrorDuty } from './links/mirror-duty.js';
import { createPopularityKeeper } from './links/popularity-keeper.js';
import type { PopularityKeeper } from './links/popularity-keeper.js';
import { createPlacementCache } from './links/placement-cache.js';
import { awaitShape, mayCoordinateNext } from './links/group-shape.js';
import { hasSeveralGroups } from './links/reporters.js';
import { createRankLinks } from './links/rank-links.js';
import type { RankLinks } from './links/rank-links.js';
import { createTelemetryPoller } from './links/telemetry-poller.js';
import type { TelemetryPoller } from './links/telemetry-poller.js';
import { readOutcome } from './links/message-readers.js';
import { createRankMember } from './rank-member.js';
import type { RankMember } from './rank-member.js';
import type { RankAgent, RankAgentOptions } from './rank-agent-options.js';
import { createRankMethods } from './tree/rank-methods.js';
import { createRankPort } from './tree/rank-port.js';
import { createTreeCalls } from './tree/tree-calls.js';
import type { GroupShape, OrderOutcome, RankEngine, RankOrder, RankReport } from './types.js';

/** Timeout of an order sent through another agent, in ms; link and engine take about ten. */
const PEER_ORDER_TIMEOUT_MS = 110;
/** Time between updates of the links from the known nodes, in ms. */
const LINK_UPDATE_INTERVAL_MS = 250;
/**
 * Time between checks whether the engine has reported its rank, in ms; the check only reads a local
 * value.
 */
const RANK_CHECK_INTERVAL_MS = 50;

/** Starts an agent; rejects when its link address is in use. */
export const createRankAgent = async (options: RankAgentOptions): Promise<RankAgent> => {
  const { self, engineHost, enginePort, openEngine, clock, random, metrics, log } = options;
  const nodes = new Map<string, NodeRecord>();
  let ownPlace: RankRecord | undefined;
  let coordinator: Coordinator | undefined;
  let telemetryPoller: TelemetryPoller | undefined;
  let shape: GroupShape | undefined;
  let stopped = false;
  let publisher: Publisher | undefined;
  let links: RankLinks | undefined;
  let popularityKeeper: PopularityKeeper | undefined;
  const engine = openEngine(engineHost, enginePort);

  const updateLinks = (): void => {
    if (ownPlace) links?.setNodes([...nodes.values()], ownPlace.name, ownPlace.rank);
  };

  const publishPlace = ({ group, rank }: RankReport): void => {
    if (ownPlace?.name === group && ownPlace.rank === rank) return;
    ownPlace = { name: group, rank, engineHost, enginePort };
    publisher?.close();
    const record = { ...self, group: ownPlace };
    publisher = createPublisher({ record, publish: options.publish, clock, log });
    // Which agents report a group's state follows from the registry and this rank.
    if (hasSeveralGroups(nodes.values())) updateLinks();
  };

  const orderForPeer = async (node: string, order: RankOrder): Promise<OrderOutcome> => {
    const requester = nodes.get(node)?.group;
    if (!requester) return 'no-answer';
    const outcome = await openEngine(requester.engineHost, requester.enginePort).order(order);
    log.event('order-for-peer', { peer: node, op: order.op, epoch: order.epoch, outcome });
    return outcome;
  };

  let follower: Follower | undefined;
  const reportsGroupState = (): boolean =>
    links?.isReporter() === true && hasSeveralGroups(nodes.values());
  const entryReports = createEntryReports({
    self,
    region: options.region,
    engine: { host: engineHost, port: enginePort },
    nodes: () => [...nodes.values()],
    isReporter: reportsGroupState,
    clock,
    random,
    metrics,
    log,
  });
  // Until the engine has reported its rank, this agent may have to report the opening.
  const needsOpeningAtOnce = (): boolean =>
    (!ownPlace || links?.isReporter() === true || links?.isLowest() === true) &&
    hasSeveralGroups(nodes.values());
  const member: RankMember = createRankMember({
    engine,
    onReport: (report) => {
      publishPlace(report);
      entryReports.record(report);
      coordinator?.onUpdate({ report, counts: [] });
    },
    // The coordinator takes pass and map in use from its own rank, so that rank's report must be
    // the latest.
    needsOpeningAtOnce,
    rereadsClosed: () => hasSeveralGroups(nodes.values()),
    needsFreshReports: () =>
      entryReports.isReportingSlowdown() || reportsGroupState() || (links?.isLowest() ?? true),
    clock,
    metrics,
    log,
  });
  const intentMirror = createAgentMirror({
    topic: options.intent,
    isNewer: options.isNewerIntent,
    keepsDeletions: true,
    clock,
    metrics,
    log,
  });
  const placementCache = createPlacementCache();
  const methods = createRankMethods({
    member: () => member,
    placementCache,
    onNodes: (push) => follower?.handlePush(push),
    clock,
  });
  const calls = createTreeCalls({ linkTo: (rank) => links?.linkToRank(rank), methods });
  links = await createRankLinks({
    self,
    region: options.region,
    handleTreeCall: calls.handle,
    handleRelayedRead: async (args) =>
      isObject(args) && args.topic === options.intent.name ? intentMirror.read() : undefined,
    shape: () => shape,
    groupSize: () => member.lastReport()?.size ?? 0,
    orderForPeer,
    onSelectionCounts: (selectionCounts) => {
      if (!links?.isLowest()) coordinator?.onSelectionCounts(selectionCounts);
    },
    clock,
    random,
    metrics,
    log,
  });
  const rankLinks = links;

  let haveNodesChanged = false;
  const updateMirrorDuty = createMirrorDuty({
    node: self.node,
    setActive: intentMirror.setActive,
    clock,
  });

  const linkPause = createPause(clock);
  const maintainLinks = async (): Promise<void> => {
    while (!stopped) {
      updateMirrorDuty(haveNodesChanged ? nodes.values() : undefined);
      haveNodesChanged = false;
      updateLinks();
      entryReports.update();
      popularityKeeper?.check();
      await linkPause.wait(LINK_UPDATE_INTERVAL_MS);
    }
  };
  void maintainLinks();

  // A rank whose agent is not linked is reached at its engine's own address. The address that the
  // agent uses belongs to the agent's VM, which may be frozen or lost while the engine continues.
  const finder = createEngineFinder({ list: options.listEngines, open: openEngine, clock, log });
  const currentEpoch = (): number => member.lastReport()?.epoch ?? -1;
  const findEngine = async (rank: number): Promise<RankEngine | undefined> =>
    ownPlace && finder.find(ownPlace.name, currentEpoch(), rank);

  const port = createRankPort({
    ownRank: () => ownPlace?.rank,
    member,
    linkTo: rankLinks.linkToRank,
    tree: rankLinks.tree,
    calls,
    methods,
    placementCache,
    findEngine,
    clock,
    metrics,
    log,
  });
  follower = followNodes({
    topic: options.nodes,
    onRecord: (node, record) => {
      // The first answer of the registry shows which agents report the state of the group.
      if (nodes.size === 0) linkPause.end();
      haveNodesChanged = true;
      if (record) nodes.set(node, record);
      else nodes.delete(node);
    },
    isCoordinating: rankLinks.isLowest,
    forward: port.forwardNodes,
    onRestored: (mirror) => publisher?.ensurePublished(mirror),
    clock,
    metrics,
    log,
  });

  const orderOwnRankViaPeer = (order: RankOrder): Promise<OrderOutcome> | undefined =>
    rankLinks
      .linkToHighest()
      ?.call('rank.order-for', { node: self.node, order }, PEER_ORDER_TIMEOUT_MS)
      .then((reply) => readOutcome(reply.outcome === 'answered' ? reply.value : undefined));

  const keepPopularity = ({ sets, experts }: GroupShape): PopularityKeeper =>
    createPopularityKeeper({
      group: ownPlace?.name ?? '',
      shape: () => {
        const ranks = member.lastReport()?.size ?? 0;
        return ranks > 0 ? { sets, experts, ranks } : undefined;
      },
      records: options.groupRecords,
      isActive: () => hasSeveralGroups(nodes.values()),
      storeAgeMs: () => follower?.logAge() ?? Infinity,
      clock,
      metrics,
      log,
    });

  const coordinate = async (): Promise<void> => {
    // A group that opens before its agents know their ranks has no coordinator. Waiting a whole
    // reading interval for the engine's first report left the group on its initial map for 1.4 s,
    // with all its streams late.
    while (!ownPlace && !stopped) await sleep(clock, RANK_CHECK_INTERVAL_MS);
    const rank = ownPlace?.rank;
    if (rank === undefined) return;
    const mayCoordinate = mayCoordinateNext(rank);
    shape = await awaitShape({
      read: options.readShape,
      request: rankLinks.requestShape,
      rank,
      isLowest: rankLinks.isLowest,
      isUrgent: () => mayCoordinate && hasSeveralGroups(nodes.values()),
      isStopped: () => stopped,
      clock,
    });
    if (!shape) return;
    // Agents that may coordinate next find the engines in advance, in case the platform can't be
    // reached by then.
    if (mayCoordinate) {
      const prepared = finder.prepare();
      if (!hasSeveralGroups(nodes.values())) await prepared;
    }
    if (stopped) return;
    const keeper = keepPopularity(shape);
    if (mayCoordinate) popularityKeeper = keeper;
    popularityKeeper?.check();
    const poller = createTelemetryPoller({
      whenCoordinating: rankLinks.whenLowest,
      queryTelemetry: port.telemetry,
      onReport: (report) => coordinator?.onUpdate({ report, counts: [] }),
      onSelectionCounts: (selectionCounts) => {
        coordinator?.onSelectionCounts(selectionCounts);
        rankLinks.sendToStandby(selectionCounts);
      },
      clock,
    });
    telemetryPoller = poller;
    coordinator = createCoordinator({
      port,
      ownRank: rank,
      shape,
      weighs: options.weighs,
      isLowest: rankLinks.isLowest,
      whenLowest: rankLinks.whenLowest,
      cachedPlacement: placementCache.find,
      telemetryIntervalMs: poller.intervalMs,
      orderOwnRankViaPeer,
      keptPopularity: keeper,
      clock,
      random,
      metrics,
      log,
    });
  };
  void coordinate();

  return {
    stop: async () => {
      stopped = true;
      log.event('stopping', {});
      coordinator?.close();
      telemetryPoller?.close();
      member.close();
      publisher?.close();
      follower?.close();
      intentMirror.close();
      await entryReports.close();
      await rankLinks.close();
      log.flush();
    },
  };
};
