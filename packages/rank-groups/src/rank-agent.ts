/** An agent beside one rank of an expert group: member, links and, while it is the lowest, coordinator. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import { createKeyedMirror, createPublisher, decodeNode, followTopic } from '@plantaindrum/mirror';
import type {
  Follower,
  KeyedTopic,
  NodeRecord,
  Publisher,
  PublishNode,
  RankPlace,
} from '@plantaindrum/mirror';
import { createCoordinator } from './coordinator.js';
import type { Coordinator } from './coordinator.js';
import { createEngineFinder } from './engine-finder.js';
import type { EngineFinderOptions } from './engine-finder.js';
import { createPaceReporter } from './links/pace-reporter.js';
import { createPlacementBook } from './links/placement-deltas.js';
import { awaitShape, coordinatesSoon } from './links/group-shape.js';
import { createRankLinks } from './links/rank-links.js';
import type { RankLinks } from './links/rank-links.js';
import { createNewsReader } from './links/news-reader.js';
import type { NewsReader } from './links/news-reader.js';
import { readOutcome } from './links/shapes.js';
import { createRankMember } from './member.js';
import type { RankMember } from './member.js';
import { createRankMethods } from './tree/rank-methods.js';
import { createRankPort } from './tree/rank-port.js';
import { createTreeCalls } from './tree/tree-calls.js';
import type {
  GroupShape,
  OrderOutcome,
  RankEngine,
  RankOrder,
  RankReport,
  Weighs,
} from './types.js';

/** Options of `createRankAgent`. */
export interface RankAgentOptions {
  self: NodeRecord;
  region: string;
  engineHost: string;
  enginePort: number;
  openEngine: (host: string, port: number) => RankEngine;
  /** The group's shape from the operators' intent; undefined while it isn't known. */
  readShape: () => Promise<GroupShape | undefined>;
  /** Engines of the group's service as the platform lists them. */
  listEngines: EngineFinderOptions['list'];
  weighs: Weighs;
  nodes: KeyedTopic;
  publish: PublishNode;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** A running agent. */
export interface RankAgent {
  stop(): Promise<void>;
}

/**
 * Agents come and go seldom; the list is read again after each change, but not more often. While the store refuses,
 * a list that is known serves on, and each refusal that all agents of a group ask for is paid for.
 */
const NODES_READ = { waitMs: 10_000, pauseMs: 1_000, retryMaxMs: 4_000 };
/**
 * Most nodes that are passed on at once. When all start, the list is some 100 KB for 228 nodes: sent on by one agent
 * it would fill that one's link for a second in which the group forms, while the others' links are free.
 */
const MOST_PASSED_ON = 20;
/** An order given by another agent, in ms: the link and the engine take some ten. */
const CALL_MS = 110;
/** How often links follow what is known of the nodes, in ms. */
const LINKS_MS = 250;
/** How often this agent looks whether its engine has told its rank, in ms; that is read anyway. */
const PLACE_MS = 50;

/** Starts an agent; rejects when its link address is in use. */
export const createRankAgent = async (options: RankAgentOptions): Promise<RankAgent> => {
  const { self, engineHost, enginePort, openEngine, clock, random, metrics, log } = options;
  const nodes = new Map<string, NodeRecord>();
  let place: RankPlace | undefined;
  let coordinator: Coordinator | undefined;
  let news: NewsReader | undefined;
  let shape: GroupShape | undefined;
  let stopped = false;
  let publisher: Publisher | undefined;
  const engine = openEngine(engineHost, enginePort);

  const takePlace = ({ group, rank }: RankReport): void => {
    if (place?.name === group && place.rank === rank) return;
    place = { name: group, rank, engineHost, enginePort };
    publisher?.close();
    const record = { ...self, group: place };
    publisher = createPublisher({ record, publish: options.publish, clock, log });
  };

  const orderFor = async (node: string, order: RankOrder): Promise<OrderOutcome> => {
    const asking = nodes.get(node)?.group;
    if (!asking) return 'no-answer';
    const outcome = await openEngine(asking.engineHost, asking.enginePort).order(order);
    log.event('order-for-peer', { peer: node, op: order.op, epoch: order.epoch, outcome });
    return outcome;
  };

  let links: RankLinks | undefined;
  let follower: Follower | undefined;
  const pace = createPaceReporter({
    self,
    region: options.region,
    engine: { host: engineHost, port: enginePort },
    nodes: () => [...nodes.values()],
    clock,
    random,
    metrics,
    log,
  });
  const member: RankMember = createRankMember({
    engine,
    onReport: (report) => {
      takePlace(report);
      pace.note(report);
      coordinator?.onUpdate({ report, picks: [] });
    },
    // The coordinator tells the passes and the map in use from its own rank, whose report is the newest.
    isWatched: () => pace.isTelling() || (links?.isLowest() ?? true),
    clock,
    metrics,
    log,
  });
  const book = createPlacementBook();
  const methods = createRankMethods({
    member: () => member,
    book,
    onNodes: (push) => follower?.takePush(push),
    clock,
  });
  const calls = createTreeCalls({ linkTo: (rank) => links?.toRank(rank), methods });
  links = await createRankLinks({
    self,
    region: options.region,
    serveTree: calls.serve,
    shape: () => shape,
    groupSize: () => member.lastReport()?.size ?? 0,
    orderFor,
    onPicks: (picks) => {
      if (!links?.isLowest()) coordinator?.onPicks(picks);
    },
    clock,
    random,
    metrics,
    log,
  });
  const linked = links;

  const keepLinks = async (): Promise<void> => {
    while (!stopped) {
      if (place) linked.setNodes([...nodes.values()], place.name, place.rank);
      await sleep(clock, LINKS_MS);
    }
  };
  void keepLinks();

  // A rank whose agent is not linked is reached at its engine's own address: the one that its agent
  // uses belongs to the agent's VM, which may be frozen or gone while the engine runs on.
  const finder = createEngineFinder({ list: options.listEngines, open: openEngine, clock, log });
  const epochNow = (): number => member.lastReport()?.epoch ?? -1;
  const direct = async (rank: number): Promise<RankEngine | undefined> =>
    place && finder.find(place.name, epochNow(), rank);

  const port = createRankPort({
    ownRank: () => place?.rank,
    member,
    linkTo: linked.toRank,
    tree: linked.tree,
    calls,
    methods,
    book,
    direct,
    clock,
    metrics,
    log,
  });
  const mirror = createKeyedMirror(({ key, value }) => {
    const record = value && decodeNode(value);
    if (record) nodes.set(key, record);
    else nodes.delete(key);
  });
  follower = followTopic({
    topic: options.nodes,
    mirror,
    askPeers: async () => undefined,
    // Each call to the log is paid for. The agent that coordinates reads the list for its group, the others
    // only while they are linked to no lower rank, or have not heard of it for the time of a reading.
    isReadByPeer: () => !linked.isLowest(),
    onAnswer: (push) => {
      const isSmall = push.records.length <= MOST_PASSED_ON;
      if (isSmall && linked.isLowest()) port.passOnNodes(push);
    },
    onRestored: () => publisher?.confirm(mirror),
    ...NODES_READ,
    clock,
    metrics,
    log,
  });

  const orderOwnFromAfar = (order: RankOrder): Promise<OrderOutcome> | undefined =>
    linked
      .toHighest()
      ?.call('rank.order-for', { node: self.node, order }, CALL_MS)
      .then((reply) => readOutcome(reply.outcome === 'answered' ? reply.value : undefined));

  const coordinate = async (): Promise<void> => {
    // Nobody coordinates a group that opens before this is known: waiting out a whole pause for the
    // engine's first word left it 1.4 s with the map it forms with, and all its streams late.
    while (!place && !stopped) await sleep(clock, PLACE_MS);
    const rank = place?.rank;
    if (rank === undefined) return;
    shape = await awaitShape({
      read: options.readShape,
      ask: linked.askShape,
      rank,
      isLowest: linked.isLowest,
      isStopped: () => stopped,
      clock,
    });
    if (!shape) return;
    // Those that may have to coordinate know the engines, should the platform be out of reach by then.
    if (coordinatesSoon(rank)) await finder.prepare();
    if (stopped) return;
    const reader = createNewsReader({
      untilCoordinating: linked.untilLowest,
      news: port.news,
      onReport: (report) => coordinator?.onUpdate({ report, picks: [] }),
      onPicks: (picks) => {
        coordinator?.onPicks(picks);
        linked.tellStandby(picks);
      },
      clock,
    });
    news = reader;
    coordinator = createCoordinator({
      port,
      ownRank: rank,
      shape,
      weighs: options.weighs,
      isLowest: linked.isLowest,
      untilLowest: linked.untilLowest,
      knownPlacement: book.find,
      newsEveryMs: reader.everyMs,
      orderOwnFromAfar,
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
      news?.close();
      member.close();
      publisher?.close();
      follower?.close();
      await pace.close();
      await linked.close();
      log.flush();
    },
  };
};
