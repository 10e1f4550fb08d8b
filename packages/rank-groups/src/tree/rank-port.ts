/**
 * Reaches the ranks of a group for their coordinator: its own rank locally, linked ranks along the
 * tree, and others directly at their engines.
 */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import { createAdaptiveTimeouts, sleep } from '@plantaindrum/common';
import type { Link } from '@plantaindrum/link';
import type { PeerPush } from '@plantaindrum/mirror';
import { RETRY_DELAY_MS, allRanks } from '../change/group-port.js';
import type { GroupPort } from '../change/group-port.js';
import { encodeMapDelta, encodeFullMap } from '../links/placement-cache.js';
import type { PlacementCache, EncodedMap } from '../links/placement-cache.js';
import type { RankMember } from '../rank-member.js';
import type { OrderOutcome, Placement, RankEngine, RankOrder, RankPlacement } from '../types.js';
import { createEngineCalls } from './engine-calls.js';
import { halfOf, MAX_DIRECT_RANKS, directRoutes, ranksOf, routesTo } from './group-tree.js';
import type { GroupTree, Route } from './group-tree.js';
import type { RankAnswers, RankTelemetry, RankOutcomes } from './rank-answers.js';
import { createSilentAgents } from './silent-agents.js';
import type { TreeCalls, TreeMethods } from './tree-calls.js';

/** Options of `createRankPort`. */
export interface RankPortOptions {
  ownRank: () => number | undefined;
  member: RankMember;
  linkTo: (rank: number) => Link | undefined;
  tree: () => GroupTree;
  calls: TreeCalls<RankAnswers>;
  methods: TreeMethods<RankAnswers>;
  placementCache: PlacementCache;
  /** Finds the engine of a rank whose agent is not linked, or doesn't answer. */
  findEngine: (rank: number) => Promise<RankEngine | undefined>;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** Telemetry, and the number of the group's ranks that it covers. */
export interface GroupTelemetry {
  telemetry: RankTelemetry;
  answered: number;
  ranks: number;
}

/** Access to a group's ranks for the coordinator beside one of them. */
export interface CoordinatorPort extends GroupPort {
  telemetry(): Promise<GroupTelemetry>;
  /** Queries the experts of these ranks; ranks that don't answer are missing from the result. */
  placements(ranks: readonly number[]): Promise<ReadonlyMap<number, RankPlacement>>;
  /**
   * Forwards records of the node registry that this agent has read, so that the other agents need
   * not read it.
   */
  forwardNodes(push: PeerPush): void;
  /** Sends the map in use to all ranks' agents, so that the next one can be sent as a delta. */
  publishMapInUse(epoch: number, version: number, placement: Placement): void;
}

type MethodName = keyof RankAnswers;
type PrepareOrder = Extract<RankOrder, { op: 'prepare' }>;

/** Minimum timeout of a call to directly called ranks, in ms; link and engine take about ten. */
const MIN_DIRECT_TIMEOUT_MS = 110;
/** Minimum timeout of a relayed call, in ms: two more links, and answers to join. */
const MIN_RELAYED_TIMEOUT_MS = 250;
/** Timeout of the first relayed calls, in ms, before any answer times are known. */
const INITIAL_RELAYED_TIMEOUT_MS = 800;
/**
 * Timeout of a call that carries a full map, in ms: up to 12 KB on each of three links in
 * succession.
 */
const FULL_MAP_TIMEOUT_MS = 1_200;
/** Minimum time allowed for an order to all ranks, including retries, in ms. */
const MIN_ORDER_TIMEOUT_MS = 700;
/** Maximum timeout of a call, in ms; after a few missed heartbeats its link is closed. */
const MAX_TIMEOUT_MS = 1_500;
const FULL_MAP_KIND = 'whole-map';

const addOutcomes = (answer: RankOutcomes, into: Map<number, OrderOutcome>): number[] => {
  (['done', 'refused'] as const).forEach((outcome) => {
    answer[outcome]?.forEach((rank) => into.set(rank, outcome));
  });
  return answer['unknown-base'] ?? [];
};

/**
 * Returns the ranks that caused missing answers: those that did not answer, without the ranks
 * routed through them.
 */
const topmostUnresponsiveRanks = (
  routes: readonly Route[],
  answered: ReadonlySet<number>,
): number[] =>
  routes.flatMap((route) =>
    answered.has(route.rank) ? topmostUnresponsiveRanks(route.below, answered) : [route.rank],
  );

/** Creates the port. */
export const createRankPort = (options: RankPortOptions): CoordinatorPort => {
  const { ownRank, member, linkTo, tree, calls, methods, placementCache, findEngine, clock, log } =
    options;
  const silentAgents = createSilentAgents(clock);
  const callEngines = createEngineCalls(findEngine);
  let inUse: { epoch: number; version: number } | undefined;
  /** The half of the ranks that was polled last. */
  let half: 0 | 1 = 1;

  const size = (): number => member.lastReport()?.size ?? 0;
  const epoch = (): number => member.lastReport()?.epoch ?? -1;
  const isLinked = (rank: number): boolean => linkTo(rank) !== undefined;
  const isResponsive = (rank: number): boolean => isLinked(rank) && silentAgents.isResponsive(rank);
  /** Whether orders to a rank go to its agent; the engine of any other rank is called directly. */
  const isReached = (rank: number): boolean =>
    rank === ownRank() || (isLinked(rank) && !silentAgents.isSilent(rank));

  const fullMapBounds = {
    first: FULL_MAP_TIMEOUT_MS,
    min: FULL_MAP_TIMEOUT_MS,
    max: MAX_TIMEOUT_MS,
  };
  const directTimes = createAdaptiveTimeouts((kind) =>
    kind === FULL_MAP_KIND
      ? fullMapBounds
      : { first: MIN_DIRECT_TIMEOUT_MS, min: MIN_DIRECT_TIMEOUT_MS, max: MAX_TIMEOUT_MS },
  );
  const relayedTimes = createAdaptiveTimeouts((kind) =>
    kind === FULL_MAP_KIND
      ? fullMapBounds
      : { first: INITIAL_RELAYED_TIMEOUT_MS, min: MIN_RELAYED_TIMEOUT_MS, max: MAX_TIMEOUT_MS },
  );

  const answerTimesFor = (ranks: number) => (ranks > MAX_DIRECT_RANKS ? relayedTimes : directTimes);
  const timeoutFor = (kind: string, ranks: number): number => answerTimesFor(ranks).timeoutMs(kind);

  /**
   * Number of ranks by which it is decided whether a call is relayed. Telemetry asks half of a group, and its counts are
   * summed on the way: called directly, each rank would send its own to the coordinator's data centre.
   */
  const sizeOfCall = (method: MethodName, wanted: ReadonlySet<number>): number =>
    method === 'news' ? size() : wanted.size;

  const routesFor = (method: MethodName, wanted: ReadonlySet<number>): Route[] => {
    const own = ownRank();
    if (sizeOfCall(method, wanted) <= MAX_DIRECT_RANKS || own === undefined) {
      return directRoutes(wanted);
    }
    return routesTo(tree(), { own, wanted, isLinked, isResponsive });
  };

  /** Makes one attempt of a call to linked ranks; also returns the ranks that did not answer. */
  const callLinked = async <N extends MethodName>(
    method: N,
    args: unknown,
    wanted: ReadonlySet<number>,
    timeoutMs: number,
  ): Promise<{ answer: RankAnswers[N]; unanswered: number[]; unresponsiveRanks: number[] }> => {
    const routes = routesFor(method, wanted);
    const answer = await calls.call({ method, args, routes, timeoutMs });
    const answered = new Set(methods[method].ranks(answer));
    const unresponsiveRanks = topmostUnresponsiveRanks(routes, answered);
    silentAgents.record(answered, unresponsiveRanks);
    return {
      answer,
      unanswered: routes.flatMap(ranksOf).filter((rank) => !answered.has(rank)),
      unresponsiveRanks,
    };
  };

  /**
   * Calls this agent's own rank and the linked ones among the given ranks. Ranks below a lost relay
   * are called a second time, except for telemetry, which is polled again anyway: when links are
   * full, the repetition would fill them further.
   */
  const callRanks = async <N extends MethodName>(
    method: N,
    args: unknown,
    ranks: readonly number[],
    kind: string = method,
    fixedTimeoutMs?: number,
  ): Promise<RankAnswers[N]> => {
    const own = ownRank();
    const startedAt = clock.monotonic();
    const wanted = new Set(ranks.filter((rank) => rank !== own && isLinked(rank)));
    const times = answerTimesFor(sizeOfCall(method, wanted));
    const timeoutMs = fixedTimeoutMs ?? times.timeoutMs(kind);
    const ownPart =
      own !== undefined && ranks.includes(own) ? methods[method].run(args, timeoutMs) : undefined;
    const first = await callLinked(method, args, wanted, timeoutMs);
    if (first.unanswered.length === 0) times.record(kind, clock.monotonic() - startedAt);
    else if (2 * first.unanswered.length > wanted.size) times.backOff(kind);
    const parts = [first.answer];
    const unreached = first.unanswered.filter((rank) => !first.unresponsiveRanks.includes(rank));
    if (unreached.length > 0 && method !== 'news') {
      parts.push((await callLinked(method, args, new Set(unreached), timeoutMs)).answer);
      log.event('relay-lost', {
        method,
        relays: first.unresponsiveRanks.length,
        again: unreached.length,
      });
    }
    const ownAnswer = await ownPart;
    if (ownAnswer !== undefined) parts.push(ownAnswer);
    options.metrics.record('rank_tree_call_ms', clock.monotonic() - startedAt, { method: kind });
    return methods[method].join(parts);
  };

  const otherRanks = (): number[] => allRanks({ size }).filter((rank) => rank !== ownRank());

  const unreached = (ranks: readonly number[]): number[] =>
    ranks.filter((rank) => !isReached(rank));

  const encodeDelta = ({ epoch: forEpoch, placement }: PrepareOrder): EncodedMap | undefined => {
    const base =
      inUse?.epoch === forEpoch ? placementCache.find(forEpoch, inUse.version) : undefined;
    return base && inUse && encodeMapDelta(inUse.version, base, placement);
  };

  const prepare = async (
    ranks: readonly number[],
    order: PrepareOrder,
    outcomes: Map<number, OrderOutcome>,
  ): Promise<void> => {
    const { epoch: forEpoch, version, placement } = order;
    placementCache.put(forEpoch, version, placement);
    const delta = encodeDelta(order);
    const args = { epoch: forEpoch, version };
    let unknownBase = ranks;
    if (delta) {
      const answer = await callRanks('prepare', { ...args, map: delta }, ranks);
      unknownBase = addOutcomes(answer, outcomes);
    }
    if (unknownBase.length === 0) return;
    const fullMap = { ...args, map: encodeFullMap(placement) };
    log.event('map-told-whole', { epoch: forEpoch, version, ranks: unknownBase.length });
    addOutcomes(await callRanks('prepare', fullMap, unknownBase, FULL_MAP_KIND), outcomes);
  };

  const orders: GroupPort['orders'] = async (ranks, order) => {
    const outcomes = new Map<number, OrderOutcome>();
    const atEngines = callEngines(unreached(ranks), (engine) => engine.order(order));
    const reached = ranks.filter(isReached);
    if (order.op === 'prepare') await prepare(reached, order, outcomes);
    else addOutcomes(await callRanks('order', order, reached), outcomes);
    (await atEngines).forEach((outcome, rank) => outcomes.set(rank, outcome));
    return outcomes;
  };

  const reports: GroupPort['reports'] = async (ranks) => {
    const atEngines = callEngines(unreached(ranks), (engine) => engine.report());
    const answer = await callRanks('report', {}, ranks.filter(isReached));
    return [...answer, ...(await atEngines).values()];
  };

  const arePrepared: GroupPort['arePrepared'] = async (forEpoch, version, giveUpAt) => {
    let pending = allRanks({ size });
    while (pending.length > 0) {
      const remainingMs = giveUpAt - clock.monotonic();
      if (remainingMs <= 0 || epoch() !== forEpoch) return false;
      // A timeout below the answer time would only make healthy relays appear unresponsive.
      const timeoutMs = Math.max(remainingMs, timeoutFor('prepared', pending.length));
      const directRanks = unreached(pending);
      const atEngines = reports(directRanks);
      const linked = pending.filter((rank) => !directRanks.includes(rank));
      const answer = await callRanks('prepared', { version }, linked, 'prepared', timeoutMs);
      const ready = new Set(answer.done);
      (await atEngines).forEach(({ rank, prepared }) => {
        if (prepared === version) ready.add(rank);
      });
      pending = pending.filter((rank) => !ready.has(rank));
      if (pending.length > 0) await sleep(clock, RETRY_DELAY_MS);
    }
    return true;
  };

  return {
    size,
    epoch,
    reports,
    orders,
    arePrepared,
    // Covers the first attempt, one for ranks below a lost relay, and one for those still missing.
    orderTimeoutMs: () => Math.max(MIN_ORDER_TIMEOUT_MS, 3 * timeoutFor('prepare', size())),
    report: async (rank) => (rank === ownRank() ? member.report() : (await reports([rank])).at(0)),
    order: async (rank, order) => {
      if (rank === ownRank()) return member.order(order);
      return (await orders([rank], order)).get(rank) ?? 'no-answer';
    },
    telemetry: async () => {
      // Each poll asks half of the ranks: news come as often, and a rank is asked half as often. On the emulator, groups
      // of 16 to 72 ranks get a better map after a shift in the same time.
      half = half === 0 ? 1 : 0;
      const isInHalf = halfOf(tree(), size(), half);
      const ranks = allRanks({ size }).filter((rank) => rank === ownRank() || isInHalf(rank));
      // An unresponsive rank would delay the telemetry of all; its report is read separately.
      const responsive = ranks.filter((rank) => rank === ownRank() || isResponsive(rank));
      const telemetry = await callRanks('news', {}, responsive);
      return { telemetry, answered: telemetry.reports.length, ranks: ranks.length };
    },
    placements: async (ranks) => {
      const atEngines = callEngines(unreached(ranks), (engine) => engine.placement());
      const answer = await callRanks('placement', {}, ranks.filter(isReached));
      const held = await atEngines;
      answer.forEach((entry) => held.set(entry.rank, entry.held));
      return held;
    },
    forwardNodes: (push) => {
      void callRanks('nodes', push, otherRanks());
    },
    publishMapInUse: (forEpoch, version, placement) => {
      inUse = { epoch: forEpoch, version };
      if (placementCache.find(forEpoch, version)) return;
      placementCache.put(forEpoch, version, placement);
      const args = { epoch: forEpoch, version, map: encodeFullMap(placement) };
      void callRanks('map-in-use', args, otherRanks(), FULL_MAP_KIND);
    },
  };
};
