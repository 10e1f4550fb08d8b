/** Searches for changes of a set's placement that reduce the load of its busiest rank. */

import type { SetPlacement } from './set-placement.js';

/** Limits of one map change. */
export interface EditLimits {
  places: number;
  /** Number of experts that a rank may still copy, in this set and in all sets. */
  remainingCopies: (rank: number, set: SetPlacement) => number;
}

/** One edit: experts that are removed from and added to ranks. */
export interface Edit {
  removals: readonly { rank: number; expert: number }[];
  additions: readonly { rank: number; expert: number }[];
  /** Number of experts copied. */
  copies: number;
  /** Load reduction per copy; larger is better. */
  value: number;
}

/** Number of least loaded ranks that are tried as receivers. */
const MAX_RECEIVERS = 6;
/** Base cost of each edit, in copies; keeps the value of an edit without a copy finite. */
const EDIT_BASE_COST = 0.1;

/**
 * Weight of a rank's load. The sixth power is dominated by the busiest ranks, whose load determines
 * the time of a pass. Unlike the maximum, it also rewards an edit while several ranks are equally
 * busy.
 */
const weight = (load: number): number => {
  const square = load * load;
  return square * square * square;
};

/**
 * Load changes of a few ranks. Hundreds of candidates are evaluated for each edit that is made, so
 * the arrays are reused for all of them.
 */
interface LoadChanges {
  add(rank: number, change: number): void;
  /** Returns the reduction of the set's weighted load by these changes, and clears them. */
  takeReduction(set: SetPlacement): number;
}

const createLoadChanges = (size: number): LoadChanges => {
  const changeByRank = new Float64Array(size);
  // An edit changes the hosts of two experts, and lists each host at most twice for each.
  const ranks = new Int32Array(4 * size);
  let count = 0;
  return {
    add: (rank, change) => {
      ranks[count] = rank;
      count += 1;
      changeByRank[rank] = (changeByRank[rank] ?? 0) + change;
    },
    takeReduction: (set) => {
      let total = 0;
      for (let at = 0; at < count; at += 1) {
        const rank = ranks[at] ?? 0;
        const change = changeByRank[rank] ?? 0;
        const load = set.loads[rank] ?? 0;
        if (change !== 0) total += weight(load) - weight(load + change);
        changeByRank[rank] = 0;
      }
      count = 0;
      return total;
    },
  };
};

/** Adds the load changes of a change in an expert's hosts. */
const changeHosts = (
  set: SetPlacement,
  loadChanges: LoadChanges,
  expert: number,
  removed: number | undefined,
  added: number | undefined,
): void => {
  const before = set.hosts(expert);
  const after = before.length - (removed === undefined ? 0 : 1) + (added === undefined ? 0 : 1);
  for (let at = 0; at < before.length; at += 1) {
    const rank = before[at] ?? 0;
    const loadAfter = rank === removed ? 0 : set.expertLoad(rank, expert, after);
    loadChanges.add(rank, loadAfter - set.expertLoad(rank, expert, before.length));
  }
  if (added !== undefined) loadChanges.add(added, set.expertLoad(added, expert, after));
};

/**
 * Returns the ranks with the least load in order; computed in one pass because it is needed before
 * each edit.
 */
const leastLoaded = ({ loads }: SetPlacement, busiest: number): number[] => {
  const ranks: number[] = [];
  loads.forEach((load, rank) => {
    if (rank === busiest) return;
    let at = ranks.length;
    while (at > 0 && load < (loads[ranks[at - 1] ?? 0] ?? 0)) at -= 1;
    if (at >= MAX_RECEIVERS) return;
    ranks.splice(at, 0, rank);
    if (ranks.length > MAX_RECEIVERS) ranks.pop();
  });
  return ranks;
};

/**
 * Returns the best edit for a set's busiest rank; undefined when none improves it within the
 * limits.
 */
export const bestEdit = (set: SetPlacement, limits: EditLimits): Edit | undefined => {
  const busiest = set.loads.indexOf(set.maxLoad());
  const loadChanges = createLoadChanges(set.loads.length);
  let best: Edit | undefined;

  const copiesOf = (rank: number, expert: number): number =>
    set.hadInitially(rank, expert) ? 0 : 1;
  const mayCopy = (rank: number, copies: number): boolean =>
    copies === 0 || limits.remainingCopies(rank, set) >= copies;

  /** Keeps the edit whose load changes have just been added, if it is the best so far. */
  const evaluate = (copies: number, edit: () => Omit<Edit, 'value' | 'copies'>): void => {
    const reduction = loadChanges.takeReduction(set);
    const value = reduction / (copies + EDIT_BASE_COST);
    if (reduction > 1e-9 && value > (best?.value ?? 0)) best = { ...edit(), copies, value };
  };

  /**
   * Tries to add `expert` to `receiver`, with or without removing it from `busiest`. A full
   * receiver gives up `replaced`.
   */
  const tryTake = (expert: number, receiver: number, replaced: number | undefined): void => {
    const copies = copiesOf(receiver, expert);
    const additions = [{ rank: receiver, expert }];
    const replacedRemovals = replaced === undefined ? [] : [{ rank: receiver, expert: replaced }];
    const removeReplaced = (): void => {
      if (replaced !== undefined) changeHosts(set, loadChanges, replaced, receiver, undefined);
    };
    changeHosts(set, loadChanges, expert, undefined, receiver);
    removeReplaced();
    evaluate(copies, () => ({ removals: replacedRemovals, additions }));
    changeHosts(set, loadChanges, expert, busiest, receiver);
    removeReplaced();
    evaluate(copies, () => ({
      removals: [...replacedRemovals, { rank: busiest, expert }],
      additions,
    }));
  };

  const trySwap = (expert: number, receiver: number, other: number): void => {
    if (set.expertsAt(busiest).includes(other)) return;
    const returnCopies = copiesOf(busiest, other);
    if (!mayCopy(busiest, returnCopies)) return;
    changeHosts(set, loadChanges, expert, busiest, receiver);
    changeHosts(set, loadChanges, other, receiver, busiest);
    evaluate(copiesOf(receiver, expert) + returnCopies, () => ({
      removals: [
        { rank: busiest, expert },
        { rank: receiver, expert: other },
      ],
      additions: [
        { rank: receiver, expert },
        { rank: busiest, expert: other },
      ],
    }));
  };

  const tryReceiver = (expert: number, receiver: number): void => {
    const receiverExperts = set.expertsAt(receiver);
    if (receiverExperts.includes(expert) || !mayCopy(receiver, copiesOf(receiver, expert))) return;
    if (receiverExperts.length < limits.places) tryTake(expert, receiver, undefined);
    else {
      receiverExperts
        .filter((other) => set.hosts(other).length > 1)
        .forEach((other) => tryTake(expert, receiver, other));
    }
    receiverExperts.forEach((other) => trySwap(expert, receiver, other));
  };

  const receivers = leastLoaded(set, busiest);
  set.expertsAt(busiest).forEach((expert) => {
    if (set.hosts(expert).length > 1) {
      changeHosts(set, loadChanges, expert, busiest, undefined);
      evaluate(0, () => ({ removals: [{ rank: busiest, expert }], additions: [] }));
    }
    receivers.forEach((receiver) => tryReceiver(expert, receiver));
  });
  return best;
};

/** Applies an edit. Additions come first, so that no expert is left without a host in between. */
export const applyEdit = (set: SetPlacement, edit: Edit): void => {
  edit.additions.forEach(({ rank, expert }) => set.add(rank, expert));
  edit.removals.forEach(({ rank, expert }) => set.remove(rank, expert));
};
