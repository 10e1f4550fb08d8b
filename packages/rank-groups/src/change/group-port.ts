/** Interfaces through which a coordinator reads from and sends orders to the ranks of its group. */

import type { Clock } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { OrderOutcome, RankOrder, RankReport } from '../types.js';

/** Reads from and sends orders to single ranks of one group. */
export interface RankPort {
  /** Number of ranks. */
  size(): number;
  /** The last epoch that this coordinator has seen. */
  epoch(): number;
  /** Reads a rank's current state; undefined when it can't be read. */
  report(rank: number): Promise<RankReport | undefined>;
  order(rank: number, order: RankOrder): Promise<OrderOutcome>;
}

/** Reads from and sends orders to many ranks at once. */
export interface GroupPort extends RankPort {
  /** Reads current reports; ranks that don't answer are missing from the result. */
  reports(ranks: readonly number[]): Promise<RankReport[]>;
  /** Sends an order to each rank once; a rank without an entry has not answered. */
  orders(ranks: readonly number[], order: RankOrder): Promise<ReadonlyMap<number, OrderOutcome>>;
  /** Time allowed for an order to all ranks, including one retry where needed, in ms. */
  orderTimeoutMs(): number;
  /**
   * Waits until all ranks have prepared a version; false when they have not by `giveUpAt`
   * (monotonic, ms).
   */
  arePrepared(epoch: number, version: number, giveUpAt: number): Promise<boolean>;
}

/** Outcome of an order that is retried until it is answered. */
export type RetriedOutcome = 'done' | 'refused' | 'gave-up';

/** Pause before an order without an answer is sent again, in ms. */
export const RETRY_DELAY_MS = 15;
/** Time between readings of the reports while ranks copy, in ms. */
const POLL_INTERVAL_MS = 10;

/** All rank numbers of a group. */
export const allRanks = (port: Pick<RankPort, 'size'>): number[] =>
  Array.from({ length: port.size() }, (_, rank) => rank);

/**
 * Repeats an order until the rank answers. An attempt without an answer may be carried out late.
 * That is harmless because the rank either accepts each order once or refuses it when it comes too
 * late (see `switch-map.ts`). Gives up when the group has formed again, or at `giveUpAt`.
 */
export const retryOrder = async (
  port: RankPort,
  clock: Clock,
  rank: number,
  order: RankOrder,
  giveUpAt = Infinity,
): Promise<RetriedOutcome> => {
  for (;;) {
    const outcome = await port.order(rank, order);
    if (outcome !== 'no-answer') return outcome;
    if (port.epoch() !== order.epoch || clock.monotonic() > giveUpAt) return 'gave-up';
    await sleep(clock, RETRY_DELAY_MS);
  }
};

/** Repeats an order to many ranks until each has answered. */
export const retryAtRanks = async (
  port: GroupPort,
  clock: Clock,
  ranks: readonly number[],
  order: RankOrder,
  giveUpAt = Infinity,
): Promise<RetriedOutcome[]> => {
  const answers = new Map<number, OrderOutcome>();
  for (;;) {
    const pending = ranks.filter((rank) => !answers.has(rank));
    const outcomes = await port.orders(pending, order);
    outcomes.forEach((outcome, rank) => {
      if (outcome !== 'no-answer') answers.set(rank, outcome);
    });
    const isOver = port.epoch() !== order.epoch || clock.monotonic() > giveUpAt;
    if (isOver || ranks.every((rank) => answers.has(rank))) break;
    await sleep(clock, RETRY_DELAY_MS);
  }
  return ranks.map((rank) => {
    const outcome = answers.get(rank);
    return outcome === undefined || outcome === 'no-answer' ? 'gave-up' : outcome;
  });
};

/** Repeats an order to all ranks until each has answered. */
export const retryAtAllRanks = (
  port: GroupPort,
  clock: Clock,
  order: RankOrder,
  giveUpAt = Infinity,
): Promise<RetriedOutcome[]> => retryAtRanks(port, clock, allRanks(port), order, giveUpAt);

/**
 * Reads current reports of all ranks; undefined when one is missing, of another epoch or closed.
 */
export const freshReports = async (
  port: GroupPort,
  epoch: number,
): Promise<RankReport[] | undefined> => {
  const reports = await port.reports(allRanks(port));
  const present = reports.filter((report) => report.epoch === epoch && report.isOpen);
  return present.length === port.size() ? present : undefined;
};

/** Timeout of an order, in ms: several tens of attempts. */
const ORDER_TIMEOUT_MS = 700;

/**
 * Creates a group port that calls each rank directly, for groups whose ranks are close to the
 * coordinator.
 */
export const createGroupPort = (port: RankPort, clock: Clock): GroupPort => ({
  ...port,
  orderTimeoutMs: () => ORDER_TIMEOUT_MS,
  reports: async (ranks) => {
    const reports = await Promise.all(ranks.map((rank) => port.report(rank)));
    return reports.flatMap((report) => (report ? [report] : []));
  },
  orders: async (ranks, order) =>
    new Map(
      await Promise.all(ranks.map(async (rank) => [rank, await port.order(rank, order)] as const)),
    ),
  arePrepared: async (epoch, version, giveUpAt) => {
    const isReady = async (rank: number): Promise<boolean> =>
      (await port.report(rank))?.prepared === version;
    for (;;) {
      if ((await Promise.all(allRanks(port).map(isReady))).every(Boolean)) return true;
      if (clock.monotonic() > giveUpAt || port.epoch() !== epoch) return false;
      await sleep(clock, POLL_INTERVAL_MS);
    }
  },
});
