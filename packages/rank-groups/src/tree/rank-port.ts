/** The ranks of a group as their coordinator reaches them: itself, along the tree, or at their engines. */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import { createAnswerTimes, inTurns, sleep } from '@plantaindrum/common';
import type { Link } from '@plantaindrum/link';
import type { PeerPush } from '@plantaindrum/mirror';
import { AGAIN_MS, allRanks } from '../change/group-port.js';
import type { GroupPort } from '../change/group-port.js';
import { tellChanges, tellWhole } from '../links/placement-deltas.js';
import type { PlacementBook, ToldMap } from '../links/placement-deltas.js';
import type { RankMember } from '../member.js';
import type {
  OrderOutcome,
  Placement,
  RankEngine,
  RankOrder,
  RankPlacement,
  RankReport,
} from '../types.js';
import { DIRECT_RANKS, directRoutes, ranksOf, routesTo } from './group-tree.js';
import type { GroupTree, Route } from './group-tree.js';
import type { RankAnswers, RankNews, RankOutcomes } from './rank-answers.js';
import type { TreeCalls, TreeMethods } from './tree-calls.js';

/** Options of `createRankPort`. */
export interface RankPortOptions {
  ownRank: () => number | undefined;
  member: RankMember;
  linkTo: (rank: number) => Link | undefined;
  tree: () => GroupTree;
  calls: TreeCalls<RankAnswers>;
  methods: TreeMethods<RankAnswers>;
  book: PlacementBook;
  /** The engine of a rank whose agent is not linked. */
  direct: (rank: number) => Promise<RankEngine | undefined>;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** News, and from how many of the group's ranks. */
export interface GatheredNews {
  news: RankNews;
  heard: number;
  ranks: number;
}

/** A group's ranks, for the coordinator beside one of them. */
export interface CoordinatorPort extends GroupPort {
  news(): Promise<GatheredNews>;
  /** What these ranks hold, as far as they have answered. */
  placements(ranks: readonly number[]): Promise<ReadonlyMap<number, RankPlacement>>;
  /** Passes on what this agent has read of the list of nodes, so that the others need not read it. */
  passOnNodes(push: PeerPush): void;
  /** Tells all ranks' agents the map in use, so that the next one can be told as a difference. */
  noteMapInUse(epoch: number, version: number, placement: Placement): void;
}

type Name = keyof RankAnswers;
type PrepareOrder = Extract<RankOrder, { op: 'prepare' }>;

/** Least limit of a call to ranks that are linked to this one, in ms: link and engine take some ten. */
const LINKED_MS = 110;
/** And of one that relays pass on, in ms: two more links, and answers to join. */
const RELAYED_MS = 250;
/** Limit of the first relayed calls, in ms, before it is known how long answers take. */
const FIRST_RELAYED_MS = 800;
/** Limit of a call that carries a whole map, in ms: up to 12 KB on each of three links in turn. */
const WHOLE_MAP_MS = 1_200;
/** Least time for an order to all ranks, given again where it has to be, in ms. */
const PATIENCE_MS = 700;
/** No answer is waited for longer than this, in ms: after some heartbeats its link is lost. */
const MOST_MS = 1_500;
/** A rank that let a call's time pass relays none for this long, in ms: its links end by then. */
const UNSOUND_MS = 1_000;
/** Engines whose agents are silent that are called at once: each call is a whole map or report. */
const DIRECT_AT_ONCE = 8;
const WHOLE_MAP = 'whole-map';

const outcomeOf = (answer: RankOutcomes, into: Map<number, OrderOutcome>): number[] => {
  (['done', 'refused'] as const).forEach((outcome) => {
    answer[outcome]?.forEach((rank) => into.set(rank, outcome));
  });
  return answer['unknown-base'] ?? [];
};

/** The ranks that kept their answers back, each without those that wait below it. */
const silentHeads = (routes: readonly Route[], heard: ReadonlySet<number>): number[] =>
  routes.flatMap((route) =>
    heard.has(route.rank) ? silentHeads(route.below, heard) : [route.rank],
  );

/** Creates the port. */
export const createRankPort = (options: RankPortOptions): CoordinatorPort => {
  const { ownRank, member, linkTo, tree, calls, methods, book, direct, clock, log } = options;
  const unsoundUntil = new Map<number, number>();
  let inUse: { epoch: number; version: number } | undefined;

  const size = (): number => member.lastReport()?.size ?? 0;
  const epoch = (): number => member.lastReport()?.epoch ?? -1;
  const isLinked = (rank: number): boolean => linkTo(rank) !== undefined;
  const isSound = (rank: number): boolean =>
    isLinked(rank) && (unsoundUntil.get(rank) ?? -Infinity) < clock.monotonic();

  const wholeMap = { first: WHOLE_MAP_MS, least: WHOLE_MAP_MS, most: MOST_MS };
  const timesOfFew = createAnswerTimes((kind) =>
    kind === WHOLE_MAP ? wholeMap : { first: LINKED_MS, least: LINKED_MS, most: MOST_MS },
  );
  const timesOfMany = createAnswerTimes((kind) =>
    kind === WHOLE_MAP ? wholeMap : { first: FIRST_RELAYED_MS, least: RELAYED_MS, most: MOST_MS },
  );

  const timesOf = (ranks: number) => (ranks > DIRECT_RANKS ? timesOfMany : timesOfFew);
  const limitOf = (kind: string, ranks: number): number => timesOf(ranks).limit(kind);

  const routesFor = (wanted: ReadonlySet<number>): Route[] => {
    const own = ownRank();
    if (wanted.size <= DIRECT_RANKS || own === undefined) return directRoutes(wanted);
    return routesTo(tree(), { own, wanted, isLinked, isSound });
  };

  /** One round of a call to linked ranks; the ranks that were not heard of. */
  const askLinked = async <N extends Name>(
    method: N,
    args: unknown,
    wanted: ReadonlySet<number>,
    timeoutMs: number,
  ): Promise<{ answer: RankAnswers[N]; unheard: number[]; heads: number[] }> => {
    const routes = routesFor(wanted);
    const answer = await calls.ask({ method, args, routes, timeoutMs });
    const heard = new Set(methods[method].ranks(answer));
    const heads = silentHeads(routes, heard);
    const until = clock.monotonic() + UNSOUND_MS;
    heads.forEach((rank) => unsoundUntil.set(rank, until));
    return { answer, unheard: routes.flatMap(ranksOf).filter((rank) => !heard.has(rank)), heads };
  };

  /**
   * Asks those of the ranks that are linked, and this agent's own. Those below a lost relay are asked twice, but
   * for news, which are asked for again anyway: where links are full, it would be what fills them.
   */
  const ask = async <N extends Name>(
    method: N,
    args: unknown,
    ranks: readonly number[],
    kind: string = method,
    mostMs?: number,
  ): Promise<RankAnswers[N]> => {
    const own = ownRank();
    const began = clock.monotonic();
    const wanted = new Set(ranks.filter((rank) => rank !== own && isLinked(rank)));
    const times = timesOf(wanted.size);
    const timeoutMs = mostMs ?? times.limit(kind);
    const ownPart =
      own !== undefined && ranks.includes(own) ? methods[method].run(args, timeoutMs) : undefined;
    const first = await askLinked(method, args, wanted, timeoutMs);
    if (first.unheard.length === 0) times.note(kind, clock.monotonic() - began);
    else if (2 * first.unheard.length > wanted.size) times.noteMostSilent(kind);
    const parts = [first.answer];
    const innocent = first.unheard.filter((rank) => !first.heads.includes(rank));
    if (innocent.length > 0 && method !== 'news') {
      parts.push((await askLinked(method, args, new Set(innocent), timeoutMs)).answer);
      log.event('relay-lost', { method, relays: first.heads.length, again: innocent.length });
    }
    const ownAnswer = await ownPart;
    if (ownAnswer !== undefined) parts.push(ownAnswer);
    options.metrics.record('rank_tree_call_ms', clock.monotonic() - began, { method: kind });
    return methods[method].join(parts);
  };

  const others = (): number[] => allRanks({ size }).filter((rank) => rank !== ownRank());

  const unlinked = (ranks: readonly number[]): number[] =>
    ranks.filter((rank) => rank !== ownRank() && !isLinked(rank));

  const tellAsDifference = ({ epoch: of, placement }: PrepareOrder): ToldMap | undefined => {
    const base = inUse?.epoch === of ? book.find(of, inUse.version) : undefined;
    return base && inUse && tellChanges(inUse.version, base, placement);
  };

  const prepare = async (
    ranks: readonly number[],
    order: PrepareOrder,
    outcomes: Map<number, OrderOutcome>,
  ): Promise<void> => {
    const { epoch: of, version, placement } = order;
    book.put(of, version, placement);
    const difference = tellAsDifference(order);
    const args = { epoch: of, version };
    let unknown = ranks;
    if (difference) {
      const answer = await ask('prepare', { ...args, map: difference }, ranks);
      unknown = outcomeOf(answer, outcomes);
    }
    if (unknown.length === 0) return;
    const whole = { ...args, map: tellWhole(placement) };
    log.event('map-told-whole', { epoch: of, version, ranks: unknown.length });
    outcomeOf(await ask('prepare', whole, unknown, WHOLE_MAP), outcomes);
  };

  const orders: GroupPort['orders'] = async (ranks, order) => {
    const outcomes = new Map<number, OrderOutcome>();
    const atEngines = inTurns(unlinked(ranks), DIRECT_AT_ONCE, async (rank) => {
      const outcome = await (await direct(rank))?.order(order);
      if (outcome) outcomes.set(rank, outcome);
    });
    if (order.op === 'prepare') await prepare(ranks, order, outcomes);
    else outcomeOf(await ask('order', order, ranks), outcomes);
    await atEngines;
    return outcomes;
  };

  const reports: GroupPort['reports'] = async (ranks) => {
    const found: RankReport[] = [];
    const atEngines = inTurns(unlinked(ranks), DIRECT_AT_ONCE, async (rank) => {
      const report = await (await direct(rank))?.report();
      if (report) found.push(report);
    });
    const answer = await ask('report', {}, ranks);
    await atEngines;
    return [...answer, ...found];
  };

  const arePrepared: GroupPort['arePrepared'] = async (of, version, giveUpAt) => {
    let open = allRanks({ size });
    while (open.length > 0) {
      const left = giveUpAt - clock.monotonic();
      if (left <= 0 || epoch() !== of) return false;
      // Less than answers take would only make sound relays look silent.
      const mostMs = Math.max(left, limitOf('prepared', open.length));
      const away = unlinked(open);
      const atEngines = reports(away);
      const linked = open.filter((rank) => !away.includes(rank));
      const answer = await ask('prepared', { version }, linked, 'prepared', mostMs);
      const ready = new Set(answer.done);
      (await atEngines).forEach(({ rank, prepared }) => {
        if (prepared === version) ready.add(rank);
      });
      open = open.filter((rank) => !ready.has(rank));
      if (open.length > 0) await sleep(clock, AGAIN_MS);
    }
    return true;
  };

  return {
    size,
    epoch,
    reports,
    orders,
    arePrepared,
    // The first try, one for those below a relay that was lost, and one for what is still missing.
    patienceMs: () => Math.max(PATIENCE_MS, 3 * limitOf('prepare', size())),
    report: async (rank) => (rank === ownRank() ? member.report() : (await reports([rank])).at(0)),
    order: async (rank, order) => {
      if (rank === ownRank()) return member.order(order);
      return (await orders([rank], order)).get(rank) ?? 'no-answer';
    },
    news: async () => {
      const ranks = allRanks({ size });
      // A rank that lets the time pass would hold up everybody's news; its report is read by itself.
      const sound = ranks.filter((rank) => rank === ownRank() || isSound(rank));
      const news = await ask('news', {}, sound);
      return { news, heard: news.reports.length, ranks: ranks.length };
    },
    placements: async (ranks) => {
      const held = new Map<number, RankPlacement>();
      const atEngines = inTurns(unlinked(ranks), DIRECT_AT_ONCE, async (rank) => {
        const found = await (await direct(rank))?.placement();
        if (found) held.set(rank, found);
      });
      const answer = await ask('placement', {}, ranks);
      answer.forEach((entry) => held.set(entry.rank, entry.held));
      await atEngines;
      return held;
    },
    passOnNodes: (push) => {
      void ask('nodes', push, others());
    },
    noteMapInUse: (of, version, placement) => {
      inUse = { epoch: of, version };
      if (book.find(of, version)) return;
      book.put(of, version, placement);
      const args = { epoch: of, version, map: tellWhole(placement) };
      void ask('map-in-use', args, others(), WHOLE_MAP);
    },
  };
};
