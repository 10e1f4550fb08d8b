import { createFairGroup } from '@plantaindrum/admission';
import type { Lane } from '../outcomes.js';
import { LANES } from '../outcomes.js';
import type { QueueItem } from './types.js';

/** Largest backlog at the least urgent rank. */
export interface LeastUrgent<T extends QueueItem> {
  rank: number;
  /** Cost of the backlog. */
  cost: number;
  /** The item of the backlog with the latest deadline. */
  last: T;
}

/**
 * Waiting items by rank, 0 first. Organisations within their share come before those over it, and
 * lanes are ordered within each of the two: the live work of an organisation that is over its share
 * doesn't displace the background work of others.
 */
export interface RankedQueue<T extends QueueItem> {
  push(item: T): void;
  pop(): T | undefined;
  remove(item: T): boolean;
  rankOf(item: QueueItem): number;
  /** Cost of everything that will start before the item. */
  costAhead(item: QueueItem): number;
  /** Calls `visit` for each item with its rank and the cost ahead; see `FairGroup.visitAll`. */
  visitAll(visit: (item: T, rank: number, ahead: number) => boolean): void;
  /** Cost of the waiting items of the item's organisation in its lane. */
  backlogOf(item: QueueItem): number;
  cost(): number;
  leastUrgent(): LeastUrgent<T> | undefined;
}

/** Creates an empty queue; `isOverShare` tells whether an organisation is over its share. */
export const createRankedQueue = <T extends QueueItem>(
  isOverShare: (organisation: string) => boolean,
): RankedQueue<T> => {
  const lanes = LANES.map(() => createFairGroup<T>());
  const indexOf = (lane: Lane) => LANES.indexOf(lane);
  const laneOf = (item: QueueItem) => lanes[indexOf(item.lane)]!;

  const isWithinShare = (organisation: string) => !isOverShare(organisation);
  /** Filters of the lower and the upper half of the ranks. */
  const shareFilters = [isWithinShare, isOverShare];

  const rankOf = (item: QueueItem): number =>
    (isOverShare(item.organisation) ? LANES.length : 0) + indexOf(item.lane);

  const levels = shareFilters.flatMap((includes, shareIndex) =>
    lanes.map((lane, laneIndex) => ({
      rank: shareIndex * LANES.length + laneIndex,
      lane,
      includes,
    })),
  );

  return {
    push: (item) => laneOf(item).push(item),
    pop: () => {
      for (const { lane, includes } of levels) {
        const item = lane.pop(includes);
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
              ? level.lane.costAhead(item, level.includes)
              : level.lane.cost(level.includes)),
          0,
        );
    },
    visitAll: (visit) => {
      // A rejection by `visit` can put an organisation over its share. Who is over it is determined
      // once, or its items would be visited a second time at the higher ranks.
      const overShare = new Set(
        lanes
          .flatMap((lane) => lane.organisations())
          .filter((organisation) => isOverShare(organisation)),
      );
      let costAbove = 0;
      levels.forEach(({ rank, lane }) => {
        const base = costAbove;
        const isOverRank = rank >= LANES.length;
        const includes = (organisation: string) => overShare.has(organisation) === isOverRank;
        costAbove += lane.visitAll(includes, (item, ahead) => visit(item, rank, base + ahead));
      });
    },
    backlogOf: (item) => laneOf(item).backlogOf(item.organisation),
    cost: () => lanes.reduce((sum, lane) => sum + lane.cost(), 0),
    leastUrgent: () => {
      for (const { rank, lane, includes } of [...levels].reverse()) {
        const largest = lane.largestBacklog(includes);
        if (largest) return { rank, ...largest };
      }
      return undefined;
    },
  };
};
