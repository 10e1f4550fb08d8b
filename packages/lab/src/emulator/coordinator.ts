/** Runs the real coordinator on an emulated group, with delayed and late orders. */

import { createMetrics, silentEventLog, sleep } from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import { createCoordinator, createGroupPort } from '@plantaindrum/rank-groups';
import type { OrderOutcome, RankOrder, RankPlacement, RankPort } from '@plantaindrum/rank-groups';
import type { DaySpec } from './day-types.js';
import type { EngineGroup } from './engine-types.js';
import { TARGET_PAUSE_MS } from './targets.js';

/** Round trip of an order when agents are idle and links fast. */
const DEFAULT_ORDER_MS = 4;
/** Maximum delay until a late order is carried out. */
const MAX_LATE_ORDER_MS = 3_000;
/** Time beyond the round trip after which an order counts as unanswered. */
const ORDER_TIMEOUT_MARGIN_MS = 26;
const TELEMETRY_INTERVAL_MS = 80;

/** Starts the coordinator on a group; every rank regularly sends it its report and selection counts. */
export const startCoordinator = (
  spec: DaySpec,
  group: EngineGroup,
  clock: ManualClock,
  random: Random,
) => {
  const orderMs = spec.orderMs ?? DEFAULT_ORDER_MS;
  const isReachable = (rank: number): boolean => {
    const { fromMs = Infinity, toMs = 0 } = spec.unreachable ?? {};
    const now = clock.monotonic();
    return rank < spec.ranks - 1 || now < fromMs || now >= toMs;
  };
  const order = async (rank: number, rankOrder: RankOrder): Promise<OrderOutcome> => {
    if (!isReachable(rank)) {
      await sleep(clock, orderMs + ORDER_TIMEOUT_MARGIN_MS);
      return 'no-answer';
    }
    if (random() < (spec.lateOrders ?? 0)) {
      clock.after(random() * MAX_LATE_ORDER_MS, () => group.order(rank, rankOrder));
      await sleep(clock, orderMs);
      return 'no-answer';
    }
    await sleep(clock, orderMs / 2);
    const outcome = group.order(rank, rankOrder);
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
  const getPlacement = (rank: number): RankPlacement => {
    const { version, placement } = group.placement();
    return { epoch: 1, version, experts: placement.map((set) => set[rank] ?? []) };
  };
  const port = {
    ...createGroupPort(ranks, clock),
    placements: async (requestedRanks: readonly number[]) =>
      new Map(requestedRanks.map((rank) => [rank, getPlacement(rank)] as const)),
    publishMapInUse: () => {},
  };
  const coordinator = createCoordinator({
    port,
    ownRank: 0,
    shape: { sets, experts, places, spare, copyMs, targetPauseMs: TARGET_PAUSE_MS },
    weighs: spec.weighs ?? 'skew',
    isLowest: () => true,
    whenLowest: async () => {},
    cachedPlacement: () => undefined,
    telemetryIntervalMs: () => TELEMETRY_INTERVAL_MS,
    orderOwnRankViaPeer: (rankOrder) => order(0, rankOrder),
    clock,
    random,
    metrics: createMetrics(),
    log: silentEventLog,
  });
  const previousCounts = Array.from({ length: spec.ranks }, (_, rank) => [...group.counts(rank)]);
  const sendTelemetry = (rank: number): void => {
    const counts = [...group.counts(rank)];
    const newCounts = counts.map((n, at) => n - (previousCounts[rank]?.[at] ?? 0));
    previousCounts[rank] = counts;
    if (isReachable(rank)) coordinator.onUpdate({ report: group.report(rank), counts: newCounts });
    clock.after(2 * TELEMETRY_INTERVAL_MS, () => sendTelemetry(rank));
  };
  // Polls ask one half of the ranks after the other.
  for (let rank = 0; rank < spec.ranks; rank += 1) {
    clock.after(rank + (rank % 2) * TELEMETRY_INTERVAL_MS, () => sendTelemetry(rank));
  }
  return coordinator;
};
