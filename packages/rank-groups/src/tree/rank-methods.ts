/** Handles calls along the tree for the agent's own rank. */

import { isObject, sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';
import { parsePush } from '@plantaindrum/mirror';
import type { PeerPush } from '@plantaindrum/mirror';
import { RETRY_DELAY_MS } from '../change/group-port.js';
import type { PlacementCache } from '../links/placement-cache.js';
import { readOrder, readVersionedMap } from '../links/message-readers.js';
import type { RankMember } from '../rank-member.js';
import type { OrderOutcome, RankOrder } from '../types.js';
import { answerCodecs } from './rank-answers.js';
import type { RankAnswers, RankOutcome, RankOutcomes } from './rank-answers.js';
import type { TreeMethods } from './tree-calls.js';

/** Options of `createRankMethods`. */
export interface RankMethodsOptions {
  member: () => RankMember | undefined;
  /** Maps that this agent knows, to which received deltas apply. */
  placementCache: PlacementCache;
  /** Handles records of the node registry that another agent has read. */
  onNodes: (push: PeerPush) => void;
  clock: Clock;
}

/** Fraction of the call's timeout in which the engine may be retried or waited for. */
const LOCAL_TIME_FRACTION = 0.8;

const asOutcomes = (outcome: RankOutcome, rank: number): RankOutcomes => ({ [outcome]: [rank] });

/** Creates the methods; they return nothing until the engine has reported its rank. */
export const createRankMethods = (options: RankMethodsOptions): TreeMethods<RankAnswers> => {
  const { member, placementCache, clock } = options;

  const ownRank = (): number | undefined => member()?.lastReport()?.rank;

  /**
   * Repeats an order until the engine answers. When one order in a hundred goes unanswered, some of
   * 192 ranks are affected each time. If the coordinator repeated it, every change would take
   * another round of calls.
   */
  const orderUntilAnswered = async (order: RankOrder, timeoutMs: number): Promise<OrderOutcome> => {
    const giveUpAt = clock.monotonic() + timeoutMs * LOCAL_TIME_FRACTION;
    for (;;) {
      const outcome = (await member()?.order(order)) ?? 'no-answer';
      if (outcome !== 'no-answer' || clock.monotonic() > giveUpAt) return outcome;
      await sleep(clock, RETRY_DELAY_MS);
    }
  };

  const giveOrder = async (args: unknown, timeoutMs: number): Promise<RankOutcome> => {
    const order = readOrder(args);
    return order ? orderUntilAnswered(order, timeoutMs) : 'refused';
  };

  const prepare = async (args: unknown, timeoutMs: number): Promise<RankOutcome> => {
    const request = readVersionedMap(args);
    if (!request) return 'refused';
    const { epoch, version } = request;
    const placement = placementCache.decode(epoch, request.map);
    if (!placement) return 'unknown-base';
    placementCache.put(epoch, version, placement);
    return orderUntilAnswered({ op: 'prepare', epoch, version, placement }, timeoutMs);
  };

  const cacheMapInUse = async (args: unknown): Promise<RankOutcome> => {
    const request = readVersionedMap(args);
    const placement = request && placementCache.decode(request.epoch, request.map);
    if (!request || !placement) return 'unknown-base';
    placementCache.put(request.epoch, request.version, placement);
    return 'done';
  };

  const awaitPrepared = async (args: unknown, timeoutMs: number): Promise<RankOutcome> => {
    const version = isObject(args) && typeof args.version === 'number' ? args.version : undefined;
    if (version === undefined) return 'refused';
    const isPrepared = await member()?.awaitPrepared(version, timeoutMs * LOCAL_TIME_FRACTION);
    return isPrepared ? 'done' : 'no-answer';
  };

  const applyNodes = async (args: unknown): Promise<RankOutcome> => {
    const push = parsePush(args);
    if (push) options.onNodes(push);
    return push ? 'done' : 'refused';
  };

  const byRank =
    (run: (args: unknown, timeoutMs: number) => Promise<RankOutcome>) =>
    async (args: unknown, timeoutMs: number): Promise<RankOutcomes | undefined> => {
      const rank = ownRank();
      return rank === undefined ? undefined : asOutcomes(await run(args, timeoutMs), rank);
    };

  const report = async () => {
    const now = await member()?.report();
    return now && [now];
  };

  const placement = async () => {
    const rank = ownRank();
    const held = await member()?.placement();
    return rank === undefined || !held ? undefined : [{ rank, held }];
  };

  const telemetry = async () => {
    const [newest, selectionCounts = []] = await Promise.all([
      member()?.telemetryReport(),
      member()?.takeSelectionCounts(),
    ]);
    return newest && { reports: [newest], picks: selectionCounts };
  };

  return {
    order: { ...answerCodecs.order, run: byRank(giveOrder) },
    prepare: { ...answerCodecs.prepare, run: byRank(prepare) },
    prepared: { ...answerCodecs.prepared, run: byRank(awaitPrepared) },
    'map-in-use': { ...answerCodecs['map-in-use'], run: byRank(cacheMapInUse) },
    nodes: { ...answerCodecs.nodes, run: byRank(applyNodes) },
    report: { ...answerCodecs.report, run: report },
    placement: { ...answerCodecs.placement, run: placement },
    news: { ...answerCodecs.news, run: telemetry },
  };
};
