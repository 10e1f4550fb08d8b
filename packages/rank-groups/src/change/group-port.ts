/** All ranks of one group, as a coordinator reaches them. */

import type { Clock } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { OrderOutcome, RankOrder, RankReport } from '../types.js';

/** Reads from and orders to the ranks of one group. */
export interface GroupPort {
  /** Ranks of the group, from 0. */
  size(): number;
  /** The epoch that this coordinator last heard of. */
  epoch(): number;
  /** A rank's state as of now; undefined when it can't be had. */
  report(rank: number): Promise<RankReport | undefined>;
  order(rank: number, order: RankOrder): Promise<OrderOutcome>;
}

/** How an order that is repeated until it is answered ended. */
export type RetriedOutcome = 'done' | 'refused' | 'gave-up';

/** Pause between two tries of an order without an answer, in ms. */
const AGAIN_MS = 15;

/** All rank numbers of a group. */
export const allRanks = (port: GroupPort): number[] =>
  Array.from({ length: port.size() }, (_, rank) => rank);

/**
 * Repeats an order until the rank answers. A try without an answer may be carried out late; that is
 * harmless because each order is one that the rank either takes once or refuses when its time is
 * over (see `switch-map.ts`). Gives up when the group has formed anew, or at `giveUpAt`.
 */
export const retryOrder = async (
  port: GroupPort,
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

/** The same order to all ranks at once. */
export const retryAtAllRanks = (
  port: GroupPort,
  clock: Clock,
  order: RankOrder,
  giveUpAt = Infinity,
): Promise<RetriedOutcome[]> =>
  Promise.all(allRanks(port).map((rank) => retryOrder(port, clock, rank, order, giveUpAt)));

/** Fresh reports of all ranks; undefined when one is missing or of another epoch. */
export const freshReports = async (
  port: GroupPort,
  epoch: number,
): Promise<RankReport[] | undefined> => {
  const reports = await Promise.all(allRanks(port).map((rank) => port.report(rank)));
  const present = reports.filter((report) => report?.epoch === epoch && report.isOpen);
  return present.length === port.size() ? (present as RankReport[]) : undefined;
};
