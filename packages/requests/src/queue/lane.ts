import type { FairGroup } from './fair-group.js';
import { createFairGroup } from './fair-group.js';
import type { QueueItem } from './types.js';

/** The work of one priority lane. */
export type LaneQueue<T extends QueueItem> = Pick<
  FairGroup<T>,
  'push' | 'pop' | 'remove' | 'cost' | 'costAhead' | 'backlogOf' | 'heaviest'
>;

/** Organisations share each class, and the class with the earliest deadline goes first. */
const createLaneByClass = <T extends QueueItem>(): LaneQueue<T> => {
  const groups = new Map<string, FairGroup<T>>();

  const groupOf = (name: string): FairGroup<T> => {
    const found = groups.get(name) ?? createFairGroup<T>();
    groups.set(name, found);
    return found;
  };

  const all = () => [...groups.values()];

  const mostUrgent = () =>
    all()
      .filter((group) => group.cost() > 0)
      .sort((a, b) => a.earliestDeadline() - b.earliestDeadline())[0];

  return {
    push: (item) => groupOf(item.class).push(item),
    pop: () => mostUrgent()?.pop(),
    remove: (item) => groupOf(item.class).remove(item),
    cost: () => all().reduce((sum, group) => sum + group.cost(), 0),
    costAhead: (item) => {
      const own = groupOf(item.class);
      const others = all().filter((group) => group !== own);
      return (
        others.reduce((sum, group) => sum + group.costBefore(item.deadline), 0) +
        own.costAhead(item)
      );
    },
    backlogOf: (organisation) =>
      all().reduce((sum, group) => sum + group.backlogOf(organisation), 0),
    heaviest: () =>
      all()
        .map((group) => group.heaviest())
        .filter((found) => found !== undefined)
        .sort((a, b) => b.cost - a.cost)[0],
  };
};

/**
 * Creates a lane. `lane`: organisations share the whole lane, and each one's own work goes by
 * deadline. `class`: they share each class by itself, so that a flood in a class with an early
 * target goes before other organisations' classes of the same lane.
 */
export const createLane = <T extends QueueItem>(fairWithin: 'class' | 'lane'): LaneQueue<T> =>
  fairWithin === 'class' ? createLaneByClass<T>() : createFairGroup<T>();
