/**
 * Waiting requests by priority, then returning callers, then deadline, with fair shares for organisations.
 * Load pattern: an organisation that floods, whose requests wait behind its own backlog.
 */

import { createFairGroup } from './fair-group.js';
import type { FairGroup, FairItem } from './fair-group.js';

/** A waiting request. */
export interface PriorityItem extends FairItem {
  /** 0 is the most urgent. */
  priority: number;
  /** The caller was refused before and has returned when it was told to. */
  isReturning: boolean;
}

/** Waiting requests of one service at one entry. */
export interface PriorityQueue<T extends PriorityItem> {
  push(item: T): void;
  /** Removes the first item of a priority. */
  pop(priority: number): T | undefined;
  remove(item: T): boolean;
  /** Number of waiting items of a priority. */
  waiting(priority: number): number;
  /** Priorities that have waiting items, the most urgent first. */
  priorities(): number[];
  size(): number;
  /** Item with the latest deadline in the largest backlog of a priority; callers that return come last. */
  lastOf(priority: number): T | undefined;
  /** Waiting items of the same priority that are sent before a new item. */
  costAhead(item: PriorityItem): number;
  /** Waiting items of an organisation in a priority. */
  backlogOf(organisation: string, priority: number): number;
}

interface Level<T extends PriorityItem> {
  returning: FairGroup<T>;
  first: FairGroup<T>;
  count: number;
}

/** Creates an empty queue. */
export const createPriorityQueue = <T extends PriorityItem>(): PriorityQueue<T> => {
  const levels = new Map<number, Level<T>>();
  let size = 0;

  const levelOf = (priority: number): Level<T> => {
    const level = levels.get(priority) ?? {
      returning: createFairGroup<T>(),
      first: createFairGroup<T>(),
      count: 0,
    };
    levels.set(priority, level);
    return level;
  };

  const recordRemoved = (level: Level<T>): void => {
    Object.assign(level, { count: level.count - 1 });
    size -= 1;
  };

  return {
    push: (item) => {
      const level = levelOf(item.priority);
      (item.isReturning ? level.returning : level.first).push(item);
      level.count += 1;
      size += 1;
    },
    pop: (priority) => {
      const level = levels.get(priority);
      const item = level?.returning.pop() ?? level?.first.pop();
      if (level && item) recordRemoved(level);
      return item;
    },
    remove: (item) => {
      const level = levels.get(item.priority);
      if (!level) return false;
      const isRemoved = (item.isReturning ? level.returning : level.first).remove(item);
      if (isRemoved) recordRemoved(level);
      return isRemoved;
    },
    waiting: (priority) => levels.get(priority)?.count ?? 0,
    priorities: () => {
      const inUse: number[] = [];
      levels.forEach(({ count }, priority) => {
        if (count > 0) inUse.push(priority);
      });
      return inUse.sort((a, b) => a - b);
    },
    size: () => size,
    lastOf: (priority) => {
      const level = levels.get(priority);
      return (level?.first.largestBacklog() ?? level?.returning.largestBacklog())?.last;
    },
    costAhead: (item) => {
      const level = levels.get(item.priority);
      if (!level) return 0;
      if (item.isReturning) return level.returning.costAhead(item);
      return level.returning.cost() + level.first.costAhead(item);
    },
    backlogOf: (organisation, priority) => {
      const level = levels.get(priority);
      if (!level) return 0;
      return level.first.backlogOf(organisation) + level.returning.backlogOf(organisation);
    },
  };
};
