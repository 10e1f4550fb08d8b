/** Changes of a set's placement that take load off its busiest rank. */

import type { SetPlacement } from './set-placement.js';

/** Limits of one change of map. */
export interface EditLimits {
  places: number;
  /** Experts that may still come new to a rank, in this set and in all sets. */
  room: (rank: number, set: SetPlacement) => number;
}

/** One edit: experts that ranks give up and take. */
export interface Edit {
  drops: readonly { rank: number; expert: number }[];
  takes: readonly { rank: number; expert: number }[];
  /** Experts copied. */
  copies: number;
  /** Relief for each copy; larger is better. */
  value: number;
}

/** Ranks with the least load that are tried as receivers. */
const RECEIVERS = 6;
/** Cost of an edit without a copy, in copies; keeps the value finite. */
const FREE_EDIT = 0.1;

/**
 * The sixth power follows the busiest ranks, whose load sets a pass's time, and unlike the maximum
 * it also rewards an edit while several ranks are equally busy.
 */
const weight = (load: number): number => {
  const square = load * load;
  return square * square * square;
};

/**
 * Changes of a few ranks' loads. Hundreds are tried for each edit that is made, so the same arrays are used for all
 * of them.
 */
interface Deltas {
  shift(rank: number, change: number): void;
  /** What the changes relieve the set of; they are forgotten by it. */
  takeRelief(set: SetPlacement): number;
}

const createDeltas = (size: number): Deltas => {
  const by = new Float64Array(size);
  // An edit changes the hosts of two experts; each host is named at most twice for each.
  const ranks = new Int32Array(4 * size);
  let count = 0;
  return {
    shift: (rank, change) => {
      ranks[count] = rank;
      count += 1;
      by[rank] = (by[rank] ?? 0) + change;
    },
    takeRelief: (set) => {
      let total = 0;
      for (let at = 0; at < count; at += 1) {
        const rank = ranks[at] ?? 0;
        const change = by[rank] ?? 0;
        const load = set.loads[rank] ?? 0;
        if (change !== 0) total += weight(load) - weight(load + change);
        by[rank] = 0;
      }
      count = 0;
      return total;
    },
  };
};

/** How the loads change when an expert's hosts change. */
const rehost = (
  set: SetPlacement,
  deltas: Deltas,
  expert: number,
  lose: number | undefined,
  gain: number | undefined,
): void => {
  const before = set.hosts(expert);
  const after = before.length - (lose === undefined ? 0 : 1) + (gain === undefined ? 0 : 1);
  for (let at = 0; at < before.length; at += 1) {
    const rank = before[at] ?? 0;
    const kept = rank === lose ? 0 : set.part(rank, expert, after);
    deltas.shift(rank, kept - set.part(rank, expert, before.length));
  }
  if (gain !== undefined) deltas.shift(gain, set.part(gain, expert, after));
};

/** The ranks with the least load, in order; found in one pass, as it is asked for before each edit. */
const coolest = ({ loads }: SetPlacement, hot: number): number[] => {
  const ranks: number[] = [];
  loads.forEach((load, rank) => {
    if (rank === hot) return;
    let at = ranks.length;
    while (at > 0 && load < (loads[ranks[at - 1] ?? 0] ?? 0)) at -= 1;
    if (at >= RECEIVERS) return;
    ranks.splice(at, 0, rank);
    if (ranks.length > RECEIVERS) ranks.pop();
  });
  return ranks;
};

/** The best edit for a set's busiest rank; undefined when none helps within the limits. */
export const bestEdit = (set: SetPlacement, limits: EditLimits): Edit | undefined => {
  const hot = set.loads.indexOf(set.highest());
  const deltas = createDeltas(set.loads.length);
  let best: Edit | undefined;

  const copiesOf = (rank: number, expert: number): number => (set.hadBefore(rank, expert) ? 0 : 1);
  const hasRoom = (rank: number, copies: number): boolean =>
    copies === 0 || limits.room(rank, set) >= copies;

  /** Takes the edit whose changes of load have just been reckoned, if it is the best so far. */
  const consider = (copies: number, edit: () => Omit<Edit, 'value' | 'copies'>): void => {
    const gain = deltas.takeRelief(set);
    const value = gain / (copies + FREE_EDIT);
    if (gain > 1e-9 && value > (best?.value ?? 0)) best = { ...edit(), copies, value };
  };

  /** `cool` takes `expert`, from `hot` or beside it, and gives up `freed` where it is full. */
  const tryTake = (expert: number, cool: number, freed: number | undefined): void => {
    const copies = copiesOf(cool, expert);
    const takes = [{ rank: cool, expert }];
    const freedDrops = freed === undefined ? [] : [{ rank: cool, expert: freed }];
    const free = (): void => {
      if (freed !== undefined) rehost(set, deltas, freed, cool, undefined);
    };
    rehost(set, deltas, expert, undefined, cool);
    free();
    consider(copies, () => ({ drops: freedDrops, takes }));
    rehost(set, deltas, expert, hot, cool);
    free();
    consider(copies, () => ({ drops: [...freedDrops, { rank: hot, expert }], takes }));
  };

  const trySwap = (expert: number, cool: number, other: number): void => {
    if (set.held(hot).includes(other)) return;
    const back = copiesOf(hot, other);
    if (!hasRoom(hot, back)) return;
    rehost(set, deltas, expert, hot, cool);
    rehost(set, deltas, other, cool, hot);
    consider(copiesOf(cool, expert) + back, () => ({
      drops: [
        { rank: hot, expert },
        { rank: cool, expert: other },
      ],
      takes: [
        { rank: cool, expert },
        { rank: hot, expert: other },
      ],
    }));
  };

  const tryReceiver = (expert: number, cool: number): void => {
    const there = set.held(cool);
    if (there.includes(expert) || !hasRoom(cool, copiesOf(cool, expert))) return;
    if (there.length < limits.places) tryTake(expert, cool, undefined);
    else {
      there
        .filter((other) => set.hosts(other).length > 1)
        .forEach((other) => tryTake(expert, cool, other));
    }
    there.forEach((other) => trySwap(expert, cool, other));
  };

  const receivers = coolest(set, hot);
  set.held(hot).forEach((expert) => {
    if (set.hosts(expert).length > 1) {
      rehost(set, deltas, expert, hot, undefined);
      consider(0, () => ({ drops: [{ rank: hot, expert }], takes: [] }));
    }
    receivers.forEach((cool) => tryReceiver(expert, cool));
  });
  return best;
};

/** Carries an edit out. Takes come first, so that no expert is without a host in between. */
export const applyEdit = (set: SetPlacement, edit: Edit): void => {
  edit.takes.forEach(({ rank, expert }) => set.add(rank, expert));
  edit.drops.forEach(({ rank, expert }) => set.remove(rank, expert));
};
