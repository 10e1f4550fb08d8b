/** The product's coordinator before an emulated group: orders take their time, some come late. */

import { createMetrics, silentEventLog, sleep } from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import { createCoordinator } from '@plantaindrum/rank-groups';
import type { GroupPort, OrderOutcome, RankOrder } from '@plantaindrum/rank-groups';
import type { DaySpec } from './day.js';
import type { EngineGroup } from './engine-types.js';

/** An order and its answer on the links, in ms. */
const ORDER_MS = 4;
const LATE_MS = 3_000;
const UPDATE_MS = 80;

/** Starts the product's coordinator on a group; every rank tells it what it reads. */
export const startCoordinator = (
  spec: DaySpec,
  group: EngineGroup,
  clock: ManualClock,
  random: Random,
) => {
  const order = async (rank: number, given: RankOrder): Promise<OrderOutcome> => {
    if (random() < (spec.lateOrders ?? 0)) {
      clock.after(random() * LATE_MS, () => group.order(rank, given));
      await sleep(clock, ORDER_MS);
      return 'no-answer';
    }
    await sleep(clock, ORDER_MS / 2);
    const outcome = group.order(rank, given);
    await sleep(clock, ORDER_MS / 2);
    return outcome;
  };
  const port: GroupPort = {
    size: () => spec.ranks,
    epoch: () => group.report(0).epoch,
    report: async (rank) => {
      await sleep(clock, ORDER_MS / 2);
      return group.report(rank);
    },
    order,
  };
  const { sets, experts } = spec.content;
  const coordinator = createCoordinator({
    port,
    ownRank: 0,
    shape: { sets, experts, places: spec.places, spare: spec.spare, copyMs: spec.copyMs },
    weighs: spec.weighs ?? 'skew',
    isLowest: () => true,
    placementOf: async (rank) => {
      const { version, placement } = group.placement();
      return { epoch: 1, version, experts: placement.map((held) => held[rank] ?? []) };
    },
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
    coordinator.onUpdate({ report: group.report(rank), picks });
    clock.after(UPDATE_MS, () => update(rank));
  };
  for (let rank = 0; rank < spec.ranks; rank += 1) clock.after(rank, () => update(rank));
  return coordinator;
};
