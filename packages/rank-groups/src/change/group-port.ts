/** All ranks of one group, as a coordinator reaches them. */

import type { Clock } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { OrderOutcome, RankOrder, RankReport } from '../types.js';

/** Reads from and orders to single ranks of one group. */
export interface RankPort {
  /** Ranks of the group, from 0. */
  size(): number;
  /** The epoch that this coordinator last heard of. */
  epoch(): number;
  /** A rank's state as of now; undefined when it can't be had. */
  report(rank: number): Promise<RankReport | undefined>;
  order(rank: number, order: RankOrder): Promise<OrderOutcome>;
}

/** Reads from and orders to many ranks at once. */
export interface GroupPort extends RankPort {
  /** Reports as of now of those ranks that have answered. */
  reports(ranks: readonly number[]): Promise<RankReport[]>;
  /** One try of an order at each rank; no entry is no answer. */
  orders(ranks: readonly number[], order: RankOrder): Promise<ReadonlyMap<number, OrderOutcome>>;
  /** Time in which an order to all ranks comes through, given again once where it has to be, in ms. */
  patienceMs(): number;
  /** Whether all ranks have copied a version before this time (monotonic, ms). */
  arePrepared(epoch: number, version: number, giveUpAt: number): Promise<boolean>;
}

/** How an order that is repeated until it is answered ended. */
export type RetriedOutcome = 'done' | 'refused' | 'gave-up';

/** Pause between two tries of an order without an answer, in ms. */
export const AGAIN_MS = 15;
/** How often reports are read while ranks copy, in ms. */
const LOOK_MS = 10;

/** All rank numbers of a group. */
export const allRanks = (port: Pick<RankPort, 'size'>): number[] =>
  Array.from({ length: port.size() }, (_, rank) => rank);

/**
 * Repeats an order until the rank answers. A try without an answer may be carried out late; that is
 * harmless because each order is one that the rank either takes once or refuses when its time is
 * over (see `switch-map.ts`). Gives up when the group has formed anew, or at `giveUpAt`.
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
    await sleep(clock, AGAIN_MS);
  }
};

/** The same order to many ranks at once, given again to those that don't answer. */
export const retryAtRanks = async (
  port: GroupPort,
  clock: Clock,
  ranks: readonly number[],
  order: RankOrder,
  giveUpAt = Infinity,
): Promise<RetriedOutcome[]> => {
  const answers = new Map<number, OrderOutcome>();
  for (;;) {
    const open = ranks.filter((rank) => !answers.has(rank));
    const outcomes = await port.orders(open, order);
    outcomes.forEach((outcome, rank) => {
      if (outcome !== 'no-answer') answers.set(rank, outcome);
    });
    const isOver = port.epoch() !== order.epoch || clock.monotonic() > giveUpAt;
    if (isOver || ranks.every((rank) => answers.has(rank))) break;
    await sleep(clock, AGAIN_MS);
  }
  return ranks.map((rank) => {
    const outcome = answers.get(rank);
    return outcome === undefined || outcome === 'no-answer' ? 'gave-up' : outcome;
  });
};

/** The same to all ranks. */
export const retryAtAllRanks = (
  port: GroupPort,
  clock: Clock,
  order: RankOrder,
  giveUpAt = Infinity,
): Promise<RetriedOutcome[]> => retryAtRanks(port, clock, allRanks(port), order, giveUpAt);

/** Fresh reports of all ranks; undefined when one is missing or of another epoch. */
export const freshReports = async (
  port: GroupPort,
  epoch: number,
): Promise<RankReport[] | undefined> => {
  const reports = await port.reports(allRanks(port));
  const present = reports.filter((report) => report.epoch === epoch && report.isOpen);
  return present.length === port.size() ? present : undefined;
};

/** Time for an order to ranks that are close at hand, in ms: some tens of tries. */
const PATIENCE_MS = 700;

/** A port to all ranks made of one to each, for groups whose ranks are close at hand. */
export const oneByOne = (port: RankPort, clock: Clock): GroupPort => ({
  ...port,
  patienceMs: () => PATIENCE_MS,
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
      await sleep(clock, LOOK_MS);
    }
  },
});
