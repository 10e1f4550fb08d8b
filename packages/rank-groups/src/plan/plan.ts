/** Plans the next map of a group: the worst experts first, a few at a time. */

import type { GroupShape, Placement, Weighs } from '../types.js';
import { applyEdit, bestEdit } from './edits.js';
import type { Edit, EditLimits } from './edits.js';
import { createSetPlacement } from './set-placement.js';
import type { SetPlacement } from './set-placement.js';

/** A map that may follow the one in use. */
export interface MapPlan {
  placement: Placement;
  /** Busiest rank's load over the mean, averaged over the sets, now and with the plan. */
  before: number;
  after: number;
  /** Experts copied by all ranks together, and by the rank that copies most. */
  copies: number;
  mostCopies: number;
}

/** What a plan has come to after some edits. */
interface Mark {
  after: number;
  copies: number;
  mostCopies: number;
  /** Gain less the price of the copies. */
  worth: number;
}

/** What one word of the operator stands for. */
interface Price {
  /** Gain in the busiest rank's load, over the mean, that is worth a change. */
  leastGain: number;
  /** The same gain that one copied expert of a group must bring, over the group's ranks. */
  gainPerCopy: number;
}

const PRICES: Readonly<Record<Weighs, Price>> = {
  skew: { leastGain: 0.12, gainPerCopy: 0.3 },
  'rebalancing-cost': { leastGain: 0.2, gainPerCopy: 0.6 },
};

/**
 * A copy is paid for by its bytes. The prices above hold for experts that take this long to copy, in ms
 * (2,500 MB at 180 Gbit/s); smaller ones are cheaper, down to half. On an emulated group of 72 ranks
 * under high load, with experts that take 16 ms, half the price earned 0.849 of the worth with 660
 * copies, the whole 0.791 with 400 (four seeds).
 */
const USUAL_COPY_MS = 111;
const LEAST_PRICE_SHARE = 0.5;

const priceShare = (copyMs: number): number =>
  Math.min(1, Math.max(LEAST_PRICE_SHARE, copyMs / USUAL_COPY_MS));

/**
 * Time that a rank may copy in one change, in ms. A rank copies one expert after the other and the change waits
 * for the slowest, so small changes follow a shift sooner: with experts that take 111 ms, one each left the
 * busiest rank over a day at 1.56 of the mean, two at 1.59, eight at 1.93. Where they take 8 to 14 ms, a change
 * takes 130 to 190 ms besides: several copies a rank cost little more, and one change does what two or three
 * did (63 ranks: 2.66 to 1.34 in place of 1.67; 192 ranks: 4.6 to 1.4 in place of 2.1).
 */
const COPYING_MS = 35;

const copiesPerChange = (copyMs: number): number =>
  Math.max(1, Math.floor(COPYING_MS / Math.max(1, copyMs)));

/** A set whose busiest rank has less than this over the mean is left alone. */
const EVEN_ENOUGH = 1.03;
/** A plan ends after so many edits in a row that cost more than they bring: the ones to come bring less. */
const LOSING_EDITS = 32;
/** Edits of one plan, for each rank: a bound on the time that planning takes. */
const EDITS_PER_RANK = 3;

const mean = (values: readonly number[]): number =>
  values.reduce((sum, n) => sum + n, 0) / Math.max(1, values.length);

/** Load of the busiest rank over the mean, averaged over the sets: what a pass pays for. */
export const imbalance = (placement: Placement, shares: readonly (readonly number[])[]): number =>
  mean(placement.map((ranks, set) => createSetPlacement(ranks, shares[set] ?? []).highest()));

const addedBy = (sets: readonly SetPlacement[], rank: number): number =>
  sets.reduce((sum, set) => sum + set.added(rank), 0);

const busiest = (sets: readonly SetPlacement[]): SetPlacement | undefined =>
  sets.reduce<SetPlacement | undefined>(
    (worst, set) => (worst && worst.highest() >= set.highest() ? worst : set),
    undefined,
  );

/** A map after edits of its sets; ranks that they leave alone keep their lists. */
const withEdits = (from: Placement, made: readonly { set: number; edit: Edit }[]): Placement => {
  const placement = from.map((ranks) => [...ranks]);
  made.forEach(({ set, edit }) => {
    const ranks = placement[set] ?? [];
    edit.takes.forEach(({ rank, expert }) => {
      ranks[rank] = [...(ranks[rank] ?? []), expert];
    });
    edit.drops.forEach(({ rank, expert }) => {
      ranks[rank] = (ranks[rank] ?? []).filter((other) => other !== expert);
    });
  });
  return placement;
};

/**
 * Plans one change; `undefined` when none is worth its price. The worst experts come first, so that a plan
 * that may not go on is the best part of the whole one.
 */
export const planChange = (
  current: Placement,
  shares: readonly (readonly number[])[],
  shape: GroupShape,
  weighs: Weighs,
  paces: readonly number[] = [],
  mayGoOn: () => boolean = () => true,
): MapPlan | undefined => {
  const price = PRICES[weighs];
  const gainPerCopy = price.gainPerCopy * priceShare(shape.copyMs);
  const rankCount = current[0]?.length ?? 0;
  const sets = current.map((ranks, at) => createSetPlacement(ranks, shares[at] ?? [], paces));
  const before = mean(sets.map((set) => set.highest()));
  const mostCopies = copiesPerChange(shape.copyMs);
  const limits: EditLimits = {
    places: shape.places,
    room: (rank, set) => Math.min(shape.spare - set.added(rank), mostCopies - addedBy(sets, rank)),
  };

  /** Copies by rank; only those of an edit's ranks are counted again. */
  const byRank = new Array<number>(rankCount).fill(0);
  let copies = 0;
  const countCopies = ({ takes, drops }: Edit): void => {
    [...takes, ...drops].forEach(({ rank }) => {
      const now = addedBy(sets, rank);
      copies += now - (byRank[rank] ?? 0);
      byRank[rank] = now;
    });
  };

  const mark = (): Mark => {
    const after = mean(sets.map((set) => set.highest()));
    const worth = before - after - (gainPerCopy * copies) / Math.max(1, rankCount);
    return { after, copies, mostCopies: Math.max(...byRank), worth };
  };

  // The last edits of a plan bring least; the plan ends where one costs more than it brings.
  let best: (Mark & { edits: number }) | undefined;
  const made: { set: number; edit: Edit }[] = [];
  const done = new Set<SetPlacement>();
  for (let edits = 0; edits < EDITS_PER_RANK * rankCount; edits += 1) {
    const worst = busiest(sets.filter((set) => !done.has(set) && set.highest() > EVEN_ENOUGH));
    const isLosing = made.length - (best?.edits ?? 0) > LOSING_EDITS;
    if (!worst || isLosing || !mayGoOn()) break;
    const edit = bestEdit(worst, limits);
    if (edit) {
      applyEdit(worst, edit);
      countCopies(edit);
      made.push({ set: sets.indexOf(worst), edit });
      const reached = mark();
      if (reached.worth > (best?.worth ?? 0)) best = { ...reached, edits: made.length };
    } else done.add(worst);
  }
  if (!best || before - best.after < price.leastGain) return undefined;
  const placement = withEdits(current, made.slice(0, best.edits));
  const { after, mostCopies: copiesOfOne } = best;
  return { placement, before, after, copies: best.copies, mostCopies: copiesOfOne };
};
