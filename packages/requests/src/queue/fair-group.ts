import type { QueueItem } from './types.js';

/** What waits for one organisation, earliest deadline first. */
interface Backlog<T extends QueueItem> {
  organisation: string;
  items: T[];
  cost: number;
  /** Cost that it may still take in its turn. */
  deficit: number;
  /** Its turn has begun: it has had its quantum. */
  inTurn: boolean;
}

/**
 * Work of several organisations that share an upstream fairly: deficit round robin over
 * organisations (Shreedhar and Varghese, 1995), earliest deadline first within each.
 */
export interface FairGroup<T extends QueueItem> {
  push(item: T): void;
  pop(): T | undefined;
  remove(item: T): boolean;
  earliestDeadline(): number;
  cost(): number;
  /** Cost that fair shares put before an item of this organisation and deadline. */
  costAhead(item: QueueItem): number;
  /** Cost of all that waits with an earlier deadline, whoever owns it. */
  costBefore(deadline: number): number;
  backlogOf(organisation: string): number;
  /** The organisation with the largest backlog, and its least urgent item. */
  heaviest(): { organisation: string; cost: number; last: T } | undefined;
  items(): T[];
}

/** Weight of the newest item in the mean cost. */
const SMOOTHING = 0.05;

const insertByDeadline = <T extends QueueItem>(items: T[], item: T) => {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    const isEarlier = items[middle]!.deadline <= item.deadline;
    if (isEarlier) low = middle + 1;
    else high = middle;
  }
  items.splice(low, 0, item);
};

const costUpTo = (items: readonly QueueItem[], deadline: number, stopAt?: string): number => {
  let sum = 0;
  for (const item of items) {
    if (item.deadline > deadline || item.id === stopAt) break;
    sum += item.cost;
  }
  return sum;
};

/** Creates an empty group. */
export const createFairGroup = <T extends QueueItem>(): FairGroup<T> => {
  const backlogs = new Map<string, Backlog<T>>();
  /** Organisations with work, in the order of their turns. */
  const turns: Backlog<T>[] = [];
  let meanCost = 1;

  const retire = (backlog: Backlog<T>) => {
    backlogs.delete(backlog.organisation);
    turns.splice(turns.indexOf(backlog), 1);
  };

  /** Takes out the item at `index`; an organisation without work gives up its turn. */
  const takeAt = (organisation: string, index: number): T | undefined => {
    const backlog = backlogs.get(organisation);
    const [item] = backlog?.items.splice(index, 1) ?? [];
    if (!backlog || !item) return undefined;
    backlog.cost -= item.cost;
    if (backlog.items.length === 0) retire(backlog);
    return item;
  };

  return {
    push: (item) => {
      meanCost += SMOOTHING * (item.cost - meanCost);
      let backlog = backlogs.get(item.organisation);
      if (!backlog) {
        backlog = {
          organisation: item.organisation,
          items: [],
          cost: 0,
          deficit: 0,
          inTurn: false,
        };
        backlogs.set(item.organisation, backlog);
        turns.push(backlog);
      }
      insertByDeadline(backlog.items, item);
      backlog.cost += item.cost;
    },
    pop: () => {
      for (let front = turns[0]; front; [front] = turns) {
        if (!front.inTurn) {
          front.inTurn = true;
          // The quantum follows the mean cost, so that a turn is about one request long.
          front.deficit += Math.max(1, meanCost);
        }
        const { cost } = front.items[0]!;
        if (front.deficit >= cost) {
          front.deficit -= cost;
          return takeAt(front.organisation, 0);
        }
        front.inTurn = false;
        turns.push(turns.shift()!);
      }
      return undefined;
    },
    remove: (item) => {
      const index = backlogs.get(item.organisation)?.items.indexOf(item) ?? -1;
      return index >= 0 && takeAt(item.organisation, index) !== undefined;
    },
    earliestDeadline: () =>
      turns.reduce((least, backlog) => Math.min(least, backlog.items[0]!.deadline), Infinity),
    cost: () => turns.reduce((sum, backlog) => sum + backlog.cost, 0),
    costAhead: (item) => {
      const own = costUpTo(backlogs.get(item.organisation)?.items ?? [], item.deadline, item.id);
      const share = own + item.cost;
      return turns.reduce((sum, backlog) => {
        if (backlog.organisation === item.organisation) return sum + own;
        return sum + Math.min(backlog.cost, share);
      }, 0);
    },
    costBefore: (deadline) =>
      turns.reduce((sum, backlog) => sum + costUpTo(backlog.items, deadline), 0),
    backlogOf: (organisation) => backlogs.get(organisation)?.cost ?? 0,
    heaviest: () => {
      const [first] = turns;
      if (!first) return undefined;
      const found = turns.reduce((most, backlog) => (backlog.cost > most.cost ? backlog : most));
      return { organisation: found.organisation, cost: found.cost, last: found.items.at(-1)! };
    },
    items: () => turns.flatMap((backlog) => backlog.items),
  };
};
