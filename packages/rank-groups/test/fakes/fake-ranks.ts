/** A group of ranks that takes orders as the users' engines do, on a clock that tests drive. */

import { sleep } from '@plantaindrum/common';
import type { ManualClock } from '@plantaindrum/common';
import { judgeRankOrder } from '@plantaindrum/stand-ins';
import { oneByOne } from '../../src/index.js';
import type {
  GroupPort,
  OrderOutcome,
  RankOrder,
  RankPlacement,
  RankReport,
} from '../../src/index.js';

/** What becomes of one order on its way; `late` is carried out unanswered, `slow` is answered. */
export type Fate = 'answered' | 'lost' | 'unanswered' | 'late' | 'slow';

interface FakeRank {
  map: number;
  prepared: number | undefined;
  highest: number;
  armed: { version: number; step: number } | undefined;
  held: number | undefined;
}

/** Options of `createFakeRanks`. */
export interface FakeRanksOptions {
  size: number;
  clock: ManualClock;
  /** Fate of the n-th order of all. */
  fate: (n: number) => Fate;
  /** How much later a late or slow order is carried out, in ms. */
  lateMs: number;
  /** What a rank lists as its experts, by set; one expert of its own unless said otherwise. */
  experts?: (rank: number) => number[][];
}

/** The fake group. */
export interface FakeRanks {
  /** A port for one coordinator; `isAlive` false: its orders go nowhere and nothing comes back. */
  port(isAlive: () => boolean, isReachable?: (rank: number) => boolean): GroupPort;
  /** What a rank holds, as its engine lists it. */
  placement(rank: number): RankPlacement;
  report(rank: number): RankReport;
  /** Begins the next pass unless a rank holds it. */
  pass(): void;
  step(): number;
  /** Passes at whose begin two ranks had different maps. */
  mixed(): number[];
  /** The group forms anew: another epoch, map 0, nothing prepared. */
  formAnew(): void;
  orders(): number;
}

const fresh = (): FakeRank => ({
  map: 0,
  prepared: undefined,
  highest: 0,
  armed: undefined,
  held: undefined,
});

/** Creates the fake group, open and with map 0. */
export const createFakeRanks = (options: FakeRanksOptions): FakeRanks => {
  const { size, clock, fate, lateMs, experts = (rank) => [[rank]] } = options;
  let ranks = Array.from({ length: size }, fresh);
  let epoch = 1;
  let step = 10;
  let orders = 0;
  const mixed: number[] = [];

  const apply = (at: number, order: RankOrder): OrderOutcome => {
    const rank = ranks[at];
    if (!rank) return 'refused';
    const { outcome, change } = judgeRankOrder({ ...rank, epoch, step, isCopied: true }, order);
    Object.assign(rank, change);
    return outcome === 'refused' ? 'refused' : 'done';
  };

  const report = (at: number): RankReport => {
    const rank = ranks[at] ?? fresh();
    const { map, prepared, armed, held } = rank;
    const place = { group: 'g', startedAt: 0, epoch, rank: at, size, isOpen: true, pace: 1 };
    return { ...place, step, map, prepared, armed, held };
  };

  const order = async (
    at: number,
    given: RankOrder,
    isReachable: (rank: number) => boolean,
  ): Promise<OrderOutcome> => {
    orders += 1;
    const what = fate(orders);
    if (what === 'slow') await sleep(clock, lateMs);
    if (what === 'lost' || !isReachable(at)) return 'no-answer';
    if (what === 'late') {
      clock.after(lateMs, () => apply(at, given));
      return 'no-answer';
    }
    const outcome = apply(at, given);
    return what === 'unanswered' ? 'no-answer' : outcome;
  };

  const never = <T>(): Promise<T> => new Promise<T>(() => {});

  return {
    placement: (rank) => ({ epoch, version: ranks[rank]?.map ?? 0, experts: experts(rank) }),
    port: (isAlive, isReachable = () => true) =>
      oneByOne(
        {
          size: () => size,
          epoch: () => epoch,
          report: async (rank) => {
            if (!isAlive()) return never();
            return isReachable(rank) ? report(rank) : undefined;
          },
          order: async (rank, given) => {
            if (!isAlive()) return never();
            const outcome = await order(rank, given, isReachable);
            return isAlive() ? outcome : never();
          },
        },
        clock,
      ),
    report,
    pass: () => {
      if (ranks.some(({ held }) => held === step + 1)) return;
      step += 1;
      ranks.forEach((rank) => {
        if (rank.armed?.step !== step) return;
        Object.assign(rank, { map: rank.armed.version, armed: undefined, prepared: undefined });
      });
      if (new Set(ranks.map(({ map }) => map)).size > 1) mixed.push(step);
    },
    step: () => step,
    mixed: () => mixed,
    formAnew: () => {
      ranks = ranks.map(fresh);
      epoch += 1;
    },
    orders: () => orders,
  };
};
