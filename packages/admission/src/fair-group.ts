/** Fair queue of several organisations, for one priority. */

/** A waiting item. */
export interface FairItem {
  /** Unique, for example the attempt's id. */
  id: string;
  organisation: string;
  /** Expected cost, for example in tokens; 1 for plain calls, and never less. */
  cost: number;
  /** Monotonic time by which the first byte of the answer is due, in milliseconds. */
  deadline: number;
}

/** Waiting items of one organisation, earliest deadline first. */
interface Backlog<T extends FairItem> {
  organisation: string;
  items: T[];
  cost: number;
  /** Cost that the organisation may still take in its turn. */
  deficit: number;
  /** Whether the quantum of the current turn has been added. */
  hasQuantum: boolean;
}

/** Selects the organisations that an operation covers. */
export type OrganisationFilter = (organisation: string) => boolean;

/**
 * Fair queue of several organisations: deficit round robin between organisations (Shreedhar and
 * Varghese, 1995), earliest deadline first within each.
 */
export interface FairGroup<T extends FairItem> {
  push(item: T): void;
  pop(includes?: OrganisationFilter): T | undefined;
  remove(item: T): boolean;
  cost(includes?: OrganisationFilter): number;
  /** Cost that is served before an item, or before a new one with its deadline. */
  costAhead(item: FairItem, includes?: OrganisationFilter): number;
  /**
   * Calls `visit` for each item with the cost ahead of it in this queue. An item for which it
   * returns false doesn't count for the items behind it. Returns the cost of the other items;
   * removes nothing.
   */
  visitAll(includes: OrganisationFilter, visit: (item: T, ahead: number) => boolean): number;
  /** Organisations with waiting items. */
  organisations(): string[];
  /** Cost of an organisation's waiting items. */
  backlogOf(organisation: string): number;
  /** Cost of the largest backlog, and its item with the latest deadline. */
  largestBacklog(includes?: OrganisationFilter): { cost: number; last: T } | undefined;
}

/** Weight of the latest item in the moving average of the cost. */
const SMOOTHING = 0.05;

const insertByDeadline = <T extends FairItem>(items: T[], item: T) => {
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

const costUpTo = (items: readonly FairItem[], deadline: number, stopAt?: string): number => {
  let sum = 0;
  for (const item of items) {
    if (item.deadline > deadline || item.id === stopAt) break;
    sum += item.cost;
  }
  return sum;
};

const includeAll: OrganisationFilter = () => true;

/** Creates an empty queue. */
export const createFairGroup = <T extends FairItem>(): FairGroup<T> => {
  const backlogs = new Map<string, Backlog<T>>();
  /** Organisations with waiting items, in round-robin order. */
  const rotation: Backlog<T>[] = [];
  let meanCost = 1;

  const removeBacklog = (backlog: Backlog<T>) => {
    backlogs.delete(backlog.organisation);
    rotation.splice(rotation.indexOf(backlog), 1);
  };

  /** Removes the item at `index`, and the organisation's backlog when it becomes empty. */
  const removeAt = (organisation: string, index: number): T | undefined => {
    const backlog = backlogs.get(organisation);
    const [item] = backlog?.items.splice(index, 1) ?? [];
    if (!backlog || !item) return undefined;
    backlog.cost -= item.cost;
    if (backlog.items.length === 0) removeBacklog(backlog);
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
          hasQuantum: false,
        };
        backlogs.set(item.organisation, backlog);
        rotation.push(backlog);
      }
      insertByDeadline(backlog.items, item);
      backlog.cost += item.cost;
    },
    pop: (includes = includeAll) => {
      if (!rotation.some(({ organisation }) => includes(organisation))) return undefined;
      for (;;) {
        const front = rotation[0]!;
        const { cost } = front.items[0]!;
        const isIncluded = includes(front.organisation);
        if (isIncluded && !front.hasQuantum) {
          front.hasQuantum = true;
          // The quantum is the mean cost, so that a turn is about one request long.
          front.deficit += Math.max(1, meanCost);
        }
        if (isIncluded && front.deficit >= cost) {
          front.deficit -= cost;
          return removeAt(front.organisation, 0);
        }
        front.hasQuantum = false;
        rotation.push(rotation.shift()!);
      }
    },
    remove: (item) => {
      const index = backlogs.get(item.organisation)?.items.indexOf(item) ?? -1;
      return index >= 0 && removeAt(item.organisation, index) !== undefined;
    },
    cost: (includes = includeAll) =>
      rotation.reduce(
        (sum, { organisation, cost }) => sum + (includes(organisation) ? cost : 0),
        0,
      ),
    costAhead: (item, includes = includeAll) => {
      const ownAhead = costUpTo(
        backlogs.get(item.organisation)?.items ?? [],
        item.deadline,
        item.id,
      );
      const shareCap = ownAhead + item.cost;
      return rotation.reduce((sum, { organisation, cost }) => {
        if (organisation === item.organisation) return sum + ownAhead;
        return sum + (includes(organisation) ? Math.min(cost, shareCap) : 0);
      }, 0);
    },
    visitAll: (includes, visit) => {
      const included = rotation.filter(({ organisation }) => includes(organisation));
      const costs = included.map(({ cost }) => cost);
      included.forEach(({ items }, index) => {
        let ownAhead = 0;
        items.forEach((item) => {
          const shareCap = ownAhead + item.cost;
          let ahead = ownAhead;
          costs.forEach((cost, other) => {
            if (other !== index) ahead += Math.min(cost, shareCap);
          });
          if (visit(item, ahead)) ownAhead = shareCap;
          else costs[index]! -= item.cost;
        });
      });
      return costs.reduce((sum, cost) => sum + cost, 0);
    },
    organisations: () => [...backlogs.keys()],
    backlogOf: (organisation) => backlogs.get(organisation)?.cost ?? 0,
    largestBacklog: (includes = includeAll) => {
      const [found] = rotation
        .filter(({ organisation }) => includes(organisation))
        .sort((a, b) => b.cost - a.cost);
      return found && { cost: found.cost, last: found.items.at(-1)! };
    },
  };
};
