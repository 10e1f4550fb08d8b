/** The product's coordinator before an emulated group: orders take their time, some come late. */

import { createMetrics, silentEventLog, sleep } from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import { createCoordinator, oneByOne } from '@plantaindrum/rank-groups';
import type { OrderOutcome, RankOrder, RankPlacement, RankPort } from '@plantaindrum/rank-groups';
import type { DaySpec } from './day-types.js';
import type { EngineGroup } from './engine-types.js';
import { TARGET_PAUSE_MS } from './targets.js';

/** An order and its answer where agents are idle and links wide, in ms. */
const ORDER_MS = 4;
const LATE_MS = 3_000;
/** Time beyond that after which an order counts as unanswered, in ms. */
const UNANSWERED_MS = 26;
const UPDATE_MS = 80;

/** Starts the product's coordinator on a group; every rank tells it what it reads. */
export const startCoordinator = (
  spec: DaySpec,
  group: EngineGroup,
  clock: ManualClock,
  random: Random,
) => {
  const orderMs = spec.orderMs ?? ORDER_MS;
  const isReachable = (rank: number): boolean => {
    const { fromMs = Infinity, toMs = 0 } = spec.unreachable ?? {};
    const now = clock.monotonic();
    return rank < spec.ranks - 1 || now < fromMs || now >= toMs;
  };
  const order = async (rank: number, given: RankOrder): Promise<OrderOutcome> => {
    if (!isReachable(rank)) {
      await sleep(clock, orderMs + UNANSWERED_MS);
      return 'no-answer';
    }
    if (random() < (spec.lateOrders ?? 0)) {
      clock.after(random() * LATE_MS, () => group.order(rank, given));
      await sleep(clock, orderMs);
      return 'no-answer';
    }
    await sleep(clock, orderMs / 2);
    const outcome = group.order(rank, given);
    await sleep(clock, orderMs / 2);
    return outcome;
  };
  const ranks: RankPort = {
    size: () => spec.ranks,
    epoch: () => group.report(0).epoch,
    report: async (rank) => {
      await sleep(clock, orderMs / 2);
      return isReachable(rank) ? group.report(rank) : undefined;
    },
    order,
  };
  const { sets, experts } = spec.content;
  const { places, spare, copyMs } = spec;
  const held = (rank: number): RankPlacement => {
    const { version, placement } = group.placement();
    return { epoch: 1, version, experts: placement.map((set) => set[rank] ?? []) };
  };
  const port = {
    ...oneByOne(ranks, clock),
    placements: async (asked: readonly number[]) =>
      new Map(asked.map((rank) => [rank, held(rank)] as const)),
    noteMapInUse: () => {},
  };
  const coordinator = createCoordinator({
    port,
    ownRank: 0,
    shape: { sets, experts, places, spare, copyMs, targetPauseMs: TARGET_PAUSE_MS },
    weighs: spec.weighs ?? 'skew',
    isLowest: () => true,
    untilLowest: async () => {},
    knownPlacement: () => undefined,
    newsEveryMs: () => UPDATE_MS,
    orderOwnFromAfar: (given) => order(0, given),
    clock,
    random,
    metrics: createMetrics(),
    log: silentEventLog,
  });
  const before = Array.from({ length: spec.ranks }, (_, rank) => [...group.counts(rank)]);
  const update = (rank: number): void => {
    const counts = [...group.counts(rank)];
    const picks = counts.map((n, at) => n - (before[rank]?.[at] ?? 0));
    before[rank] = counts;
    if (isReachable(rank)) coordinator.onUpdate({ report: group.report(rank), picks });
    clock.after(UPDATE_MS, () => update(rank));
  };
  for (let rank = 0; rank < spec.ranks; rank += 1) clock.after(rank, () => update(rank));
  return coordinator;
};
