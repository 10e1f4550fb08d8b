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

/** Which organisations a call is about. */
export type Belongs = (organisation: string) => boolean;

/**
 * Work of several organisations that share an upstream fairly: deficit round robin over
 * organisations (Shreedhar and Varghese, 1995), earliest deadline first within each.
 */
export interface FairGroup<T extends QueueItem> {
  push(item: T): void;
  pop(belongs?: Belongs): T | undefined;
  remove(item: T): boolean;
  cost(belongs?: Belongs): number;
  /** Cost that fair shares put before an item, or before a new one of its deadline. */
  costAhead(item: QueueItem, belongs?: Belongs): number;
  /**
   * Visits each item with the cost ahead of it in this group; what `visit` doesn't want to keep
   * counts no more for those behind it. Answers the cost that is kept; takes nothing out itself.
   */
  review(belongs: Belongs, visit: (item: T, ahead: number) => boolean): number;
  /** Organisations with work here. */
  organisations(): string[];
  backlogOf(organisation: string): number;
  /** The largest backlog, and its item with the latest deadline. */
  heaviest(belongs?: Belongs): { cost: number; last: T } | undefined;
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

const everyone: Belongs = () => true;

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
    pop: (belongs = everyone) => {
      if (!turns.some(({ organisation }) => belongs(organisation))) return undefined;
      for (;;) {
        const front = turns[0]!;
        const { cost } = front.items[0]!;
        const mayTake = belongs(front.organisation);
        if (mayTake && !front.inTurn) {
          front.inTurn = true;
          // The quantum follows the mean cost, so that a turn is about one request long.
          front.deficit += Math.max(1, meanCost);
        }
        if (mayTake && front.deficit >= cost) {
          front.deficit -= cost;
          return takeAt(front.organisation, 0);
        }
        front.inTurn = false;
        turns.push(turns.shift()!);
      }
    },
    remove: (item) => {
      const index = backlogs.get(item.organisation)?.items.indexOf(item) ?? -1;
      return index >= 0 && takeAt(item.organisation, index) !== undefined;
    },
    cost: (belongs = everyone) =>
      turns.reduce((sum, { organisation, cost }) => sum + (belongs(organisation) ? cost : 0), 0),
    costAhead: (item, belongs = everyone) => {
      const own = costUpTo(backlogs.get(item.organisation)?.items ?? [], item.deadline, item.id);
      const share = own + item.cost;
      return turns.reduce((sum, { organisation, cost }) => {
        if (organisation === item.organisation) return sum + own;
        return sum + (belongs(organisation) ? Math.min(cost, share) : 0);
      }, 0);
    },
    review: (belongs, visit) => {
      const inside = turns.filter(({ organisation }) => belongs(organisation));
      const costs = inside.map(({ cost }) => cost);
      inside.forEach(({ items }, index) => {
        let own = 0;
        items.forEach((item) => {
          const share = own + item.cost;
          let ahead = own;
          costs.forEach((cost, other) => {
            if (other !== index) ahead += Math.min(cost, share);
          });
          if (visit(item, ahead)) own = share;
          else costs[index]! -= item.cost;
        });
      });
      return costs.reduce((sum, cost) => sum + cost, 0);
    },
    organisations: () => [...backlogs.keys()],
    backlogOf: (organisation) => backlogs.get(organisation)?.cost ?? 0,
    heaviest: (belongs = everyone) => {
      const [found] = turns
        .filter(({ organisation }) => belongs(organisation))
        .sort((a, b) => b.cost - a.cost);
      return found && { cost: found.cost, last: found.items.at(-1)! };
    },
  };
};
