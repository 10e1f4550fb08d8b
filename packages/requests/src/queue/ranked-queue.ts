import type { Lane } from '../outcomes.js';
import { LANES } from '../outcomes.js';
import { createFairGroup } from './fair-group.js';
import type { QueueItem } from './types.js';

/** The organisation that holds most of the least urgent work. */
export interface LeastUrgent<T extends QueueItem> {
  rank: number;
  /** Cost that it holds at that rank. */
  cost: number;
  /** Its item with the latest deadline. */
  last: T;
}

/**
 * Waiting work by rank, 0 first. Organisations within their share come before those over it, and
 * within each of the two the lanes follow each other: the live work of an organisation that takes
 * more than its share costs no other organisation its background work.
 */
export interface RankedQueue<T extends QueueItem> {
  push(item: T): void;
  pop(): T | undefined;
  remove(item: T): boolean;
  rankOf(item: QueueItem): number;
  /** Cost of all that will start before the item. */
  costAhead(item: QueueItem): number;
  /** Visits every item with its rank and the cost ahead; see `FairGroup.review`. */
  review(visit: (item: T, rank: number, ahead: number) => boolean): void;
  /** Cost that the item's organisation holds in the item's lane. */
  backlogOf(item: QueueItem): number;
  cost(): number;
  leastUrgent(): LeastUrgent<T> | undefined;
}

/** Creates an empty queue; `isOver` tells whether an organisation is over its share. */
export const createRankedQueue = <T extends QueueItem>(
  isOver: (organisation: string) => boolean,
): RankedQueue<T> => {
  const lanes = LANES.map(() => createFairGroup<T>());
  const indexOf = (lane: Lane) => LANES.indexOf(lane);
  const laneOf = (item: QueueItem) => lanes[indexOf(item.lane)]!;

  const isWithin = (organisation: string) => !isOver(organisation);
  /** Who belongs to each half of the ranks. */
  const halves = [isWithin, isOver];

  const rankOf = (item: QueueItem): number =>
    (isOver(item.organisation) ? LANES.length : 0) + indexOf(item.lane);

  const levels = halves.flatMap((belongs, half) =>
    lanes.map((lane, n) => ({ rank: half * LANES.length + n, lane, belongs })),
  );

  return {
    push: (item) => laneOf(item).push(item),
    pop: () => {
      for (const { lane, belongs } of levels) {
        const item = lane.pop(belongs);
        if (item) return item;
      }
      return undefined;
    },
    remove: (item) => laneOf(item).remove(item),
    rankOf,
    costAhead: (item) => {
      const rank = rankOf(item);
      return levels
        .slice(0, rank + 1)
        .reduce(
          (sum, level) =>
            sum +
            (level.rank === rank
              ? level.lane.costAhead(item, level.belongs)
              : level.lane.cost(level.belongs)),
          0,
        );
    },
    review: (visit) => {
      // A refusal in mid review can put an organisation over its share: who is over is settled at
      // the start, or its work would be visited again among those over their share.
      const over = new Set(
        lanes
          .flatMap((lane) => lane.organisations())
          .filter((organisation) => isOver(organisation)),
      );
      let above = 0;
      levels.forEach(({ rank, lane }) => {
        const base = above;
        const isOverRank = rank >= LANES.length;
        const belongs = (organisation: string) => over.has(organisation) === isOverRank;
        above += lane.review(belongs, (item, ahead) => visit(item, rank, base + ahead));
      });
    },
    backlogOf: (item) => laneOf(item).backlogOf(item.organisation),
    cost: () => lanes.reduce((sum, lane) => sum + lane.cost(), 0),
    leastUrgent: () => {
      for (const { rank, lane, belongs } of [...levels].reverse()) {
        const heaviest = lane.heaviest(belongs);
        if (heaviest) return { rank, ...heaviest };
      }
      return undefined;
    },
  };
};
