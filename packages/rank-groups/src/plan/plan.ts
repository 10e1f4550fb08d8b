/**
 * Plans the next map of a group by greedy edits, starting with the set whose busiest rank has the
 * highest load.
 */

import type { GroupShape, Placement, Weighs } from '../types.js';
import { applyEdit, bestEdit } from './edits.js';
import type { Edit, EditLimits } from './edits.js';
import { createSetPlacement } from './set-placement.js';
import type { SetPlacement } from './set-placement.js';

/** A planned map. */
export interface MapPlan {
  placement: Placement;
  /**
   * Load of the busiest rank relative to the mean, averaged over the sets, before and after the
   * change.
   */
  before: number;
  after: number;
  /** Number of experts copied by all ranks together, and by the rank that copies most. */
  copies: number;
  maxCopiesPerRank: number;
}

/** Result of a plan after some of its edits. */
interface PlanState {
  after: number;
  copies: number;
  maxCopiesPerRank: number;
  /** Gain minus the price of the copies. */
  netGain: number;
}

/** Thresholds of one priority. */
interface Price {
  /** Minimum gain for a change: reduction of the busiest rank's load relative to the mean. */
  minGain: number;
  /** Minimum gain for one copied expert, divided by the number of ranks. */
  gainPerCopy: number;
}

const PRICES: Readonly<Record<Weighs, Price>> = {
  skew: { minGain: 0.12, gainPerCopy: 0.3 },
  'rebalancing-cost': { minGain: 0.2, gainPerCopy: 0.6 },
};

/**
 * Copy time for which the prices above hold, in ms (2,500 MB at 180 Gbit/s). The cost of a copy
 * depends on its bytes, so smaller experts are cheaper, down to half the price. In an emulated
 * group of 72 ranks under high load, with experts that take 16 ms, half the price reached 0.849 of
 * the achievable worth with 660 copies, and the whole price 0.791 with 400 (four seeds).
 */
const REFERENCE_COPY_MS = 111;
const MIN_PRICE_FACTOR = 0.5;

const priceFactor = (copyMs: number): number =>
  Math.min(1, Math.max(MIN_PRICE_FACTOR, copyMs / REFERENCE_COPY_MS));

/**
 * Maximum time that a rank copies in one change, in ms. A rank copies its experts one after the
 * other and the change waits for the slowest rank, so small changes follow a shift sooner. With
 * experts that take 111 ms, the busiest rank was at 1.56 of the mean over a day with one copy a
 * change, at 1.59 with two and at 1.93 with eight. Where experts take 8 to 14 ms, the rest of a
 * change takes 130 to 190 ms: several copies a rank add little time, and one change achieves what
 * two or three did (63 ranks: 2.66 to 1.34 instead of 1.67; 192 ranks: 4.6 to 1.4 instead of 2.1).
 */
const MAX_COPY_TIME_MS = 35;

const copiesPerChange = (copyMs: number): number =>
  Math.max(1, Math.floor(MAX_COPY_TIME_MS / Math.max(1, copyMs)));

/** A set whose busiest rank has less load than this, relative to the mean, is left unchanged. */
const BALANCED_LOAD = 1.03;
/**
 * A plan ends after this many successive edits that cost more than they gain: later ones gain less.
 */
const MAX_LOSING_EDITS = 32;
/** Maximum number of edits of one plan for each rank; limits the planning time. */
const MAX_EDITS_PER_RANK = 3;

const mean = (values: readonly number[]): number =>
  values.reduce((sum, n) => sum + n, 0) / Math.max(1, values.length);

/**
 * Returns the load of the busiest rank relative to the mean, averaged over the sets; it determines
 * the time of a pass.
 */
export const imbalance = (placement: Placement, shares: readonly (readonly number[])[]): number =>
  mean(placement.map((ranks, set) => createSetPlacement(ranks, shares[set] ?? []).maxLoad()));

const copiesTo = (sets: readonly SetPlacement[], rank: number): number =>
  sets.reduce((sum, set) => sum + set.added(rank), 0);

const mostImbalanced = (sets: readonly SetPlacement[]): SetPlacement | undefined =>
  sets.reduce<SetPlacement | undefined>(
    (highestSoFar, set) =>
      highestSoFar && highestSoFar.maxLoad() >= set.maxLoad() ? highestSoFar : set,
    undefined,
  );

/** Applies edits to a map; ranks without an edit share their lists with the original. */
const applyEdits = (from: Placement, edits: readonly { set: number; edit: Edit }[]): Placement => {
  const placement = from.map((ranks) => [...ranks]);
  edits.forEach(({ set, edit }) => {
    const ranks = placement[set] ?? [];
    edit.additions.forEach(({ rank, expert }) => {
      ranks[rank] = [...(ranks[rank] ?? []), expert];
    });
    edit.removals.forEach(({ rank, expert }) => {
      ranks[rank] = (ranks[rank] ?? []).filter((other) => other !== expert);
    });
  });
  return placement;
};

/**
 * Plans one change; undefined when none is worth its price. The sets with the highest load are
 * edited first, so that a plan cut short by `mayContinue` keeps the most valuable edits.
 */
export const planChange = (
  current: Placement,
  shares: readonly (readonly number[])[],
  shape: GroupShape,
  weighs: Weighs,
  slowdowns: readonly number[] = [],
  mayContinue: () => boolean = () => true,
): MapPlan | undefined => {
  const price = PRICES[weighs];
  const gainPerCopy = price.gainPerCopy * priceFactor(shape.copyMs);
  const rankCount = current[0]?.length ?? 0;
  const sets = current.map((ranks, at) => createSetPlacement(ranks, shares[at] ?? [], slowdowns));
  const before = mean(sets.map((set) => set.maxLoad()));
  const copyLimit = copiesPerChange(shape.copyMs);
  const limits: EditLimits = {
    places: shape.places,
    remainingCopies: (rank, set) =>
      Math.min(shape.spare - set.added(rank), copyLimit - copiesTo(sets, rank)),
  };

  /** Copies by rank; only the ranks of the last edit are counted again. */
  const byRank = new Array<number>(rankCount).fill(0);
  let copies = 0;
  const countCopies = ({ additions, removals }: Edit): void => {
    [...additions, ...removals].forEach(({ rank }) => {
      const now = copiesTo(sets, rank);
      copies += now - (byRank[rank] ?? 0);
      byRank[rank] = now;
    });
  };

  const evaluate = (): PlanState => {
    const after = mean(sets.map((set) => set.maxLoad()));
    const netGain = before - after - (gainPerCopy * copies) / Math.max(1, rankCount);
    return { after, copies, maxCopiesPerRank: Math.max(...byRank), netGain };
  };

  // The last edits of a plan gain least, so the plan ends at the edit with the highest net gain.
  let best: (PlanState & { edits: number }) | undefined;
  const applied: { set: number; edit: Edit }[] = [];
  const exhausted = new Set<SetPlacement>();
  for (let edits = 0; edits < MAX_EDITS_PER_RANK * rankCount; edits += 1) {
    const worst = mostImbalanced(
      sets.filter((set) => !exhausted.has(set) && set.maxLoad() > BALANCED_LOAD),
    );
    const isLosing = applied.length - (best?.edits ?? 0) > MAX_LOSING_EDITS;
    if (!worst || isLosing || !mayContinue()) break;
    const edit = bestEdit(worst, limits);
    if (edit) {
      applyEdit(worst, edit);
      countCopies(edit);
      applied.push({ set: sets.indexOf(worst), edit });
      const reached = evaluate();
      if (reached.netGain > (best?.netGain ?? 0)) best = { ...reached, edits: applied.length };
    } else exhausted.add(worst);
  }
  if (!best || before - best.after < price.minGain) return undefined;
  const placement = applyEdits(current, applied.slice(0, best.edits));
  const { after, maxCopiesPerRank } = best;
  return { placement, before, after, copies: best.copies, maxCopiesPerRank };
};
