/** The agent's part in calls along a tree: what its own rank does and answers. */

import { isObject, sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';
import { readPush } from '@plantaindrum/mirror';
import type { PeerPush } from '@plantaindrum/mirror';
import { AGAIN_MS } from '../change/group-port.js';
import type { PlacementBook } from '../links/placement-deltas.js';
import { readOrder, readPreparation } from '../links/shapes.js';
import type { RankMember } from '../member.js';
import type { OrderOutcome, RankOrder } from '../types.js';
import { answerShapes } from './rank-answers.js';
import type { RankAnswers, RankOutcome, RankOutcomes } from './rank-answers.js';
import type { TreeMethods } from './tree-calls.js';

/** Options of `createRankMethods`. */
export interface RankMethodsOptions {
  member: () => RankMember | undefined;
  /** Maps that this agent knows, by which differences are told. */
  book: PlacementBook;
  /** Takes what another agent has read of the list of nodes. */
  onNodes: (push: PeerPush) => void;
  clock: Clock;
}

/** Part of the caller's time in which an engine may be told once more, or be waited for. */
const OWN_TIME = 0.8;

const asOutcomes = (outcome: RankOutcome, rank: number): RankOutcomes => ({ [outcome]: [rank] });

/** Creates the methods; a rank whose engine has not told its number says nothing. */
export const createRankMethods = (options: RankMethodsOptions): TreeMethods<RankAnswers> => {
  const { member, book, clock } = options;

  const ownRank = (): number | undefined => member()?.lastReport()?.rank;

  /**
   * Tells the engine until it answers. Of 192 ranks some leave an order unanswered whenever one in a
   * hundred is; told again from afar, every change would take another round for each of these.
   */
  const insist = async (order: RankOrder, timeoutMs: number): Promise<OrderOutcome> => {
    const giveUpAt = clock.monotonic() + timeoutMs * OWN_TIME;
    for (;;) {
      const outcome = (await member()?.order(order)) ?? 'no-answer';
      if (outcome !== 'no-answer' || clock.monotonic() > giveUpAt) return outcome;
      await sleep(clock, AGAIN_MS);
    }
  };

  const giveOrder = async (args: unknown, timeoutMs: number): Promise<RankOutcome> => {
    const order = readOrder(args);
    return order ? insist(order, timeoutMs) : 'refused';
  };

  const prepare = async (args: unknown, timeoutMs: number): Promise<RankOutcome> => {
    const asked = readPreparation(args);
    if (!asked) return 'refused';
    const { epoch, version } = asked;
    const placement = book.resolve(epoch, asked.map);
    if (!placement) return 'unknown-base';
    book.put(epoch, version, placement);
    return insist({ op: 'prepare', epoch, version, placement }, timeoutMs);
  };

  const noteMapInUse = async (args: unknown): Promise<RankOutcome> => {
    const told = readPreparation(args);
    const placement = told && book.resolve(told.epoch, told.map);
    if (!told || !placement) return 'unknown-base';
    book.put(told.epoch, told.version, placement);
    return 'done';
  };

  const awaitPrepared = async (args: unknown, timeoutMs: number): Promise<RankOutcome> => {
    const version = isObject(args) && typeof args.version === 'number' ? args.version : undefined;
    if (version === undefined) return 'refused';
    const isPrepared = await member()?.awaitPrepared(version, timeoutMs * OWN_TIME);
    return isPrepared ? 'done' : 'no-answer';
  };

  const takeNodes = async (args: unknown): Promise<RankOutcome> => {
    const push = readPush(args);
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

  const news = async () => {
    const [newest, picks = []] = await Promise.all([member()?.newsReport(), member()?.takePicks()]);
    return newest && { reports: [newest], picks };
  };

  return {
    order: { ...answerShapes.order, run: byRank(giveOrder) },
    prepare: { ...answerShapes.prepare, run: byRank(prepare) },
    prepared: { ...answerShapes.prepared, run: byRank(awaitPrepared) },
    'map-in-use': { ...answerShapes['map-in-use'], run: byRank(noteMapInUse) },
    nodes: { ...answerShapes.nodes, run: byRank(takeNodes) },
    report: { ...answerShapes.report, run: report },
    placement: { ...answerShapes.placement, run: placement },
    news: { ...answerShapes.news, run: news },
  };
};
