/** How popular each expert is now, from counts that arrive in small pieces. */

/** Estimate of the experts' popularity. */
export interface Popularity {
  /** Takes the picks since the last call, set by set. */
  add(picks: readonly number[]): void;
  /** Share of a set's picks that goes to each expert; undefined before enough is known. */
  shares(): number[][] | undefined;
  /** Pieces since the last shift that was noticed. */
  sinceShift(): number;
}

/** Weight that older picks keep with each piece: about a second is remembered at ten a second. */
const KEPT = 0.93;
/**
 * Share of the picks that must go to other experts than before for a shift. Pieces of an unchanged
 * popularity differ by about 0.05, real shifts by 0.2 and more (counts of a played day).
 */
const SHIFT = 0.13;
/** Picks that a piece needs, for each expert of a set, before it can show a shift. */
const PICKS_FOR_SHIFT = 150;
/** Picks that are needed, for each expert of a set, before there is an estimate. */
const PICKS_FOR_SHARES = 200;

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/** Creates the estimate for a group of this many sets and experts. */
export const createPopularity = (sets: number, experts: number): Popularity => {
  const size = sets * experts;
  let estimate = new Array<number>(size).fill(0);
  let pending = new Array<number>(size).fill(0);
  let pieces = 0;

  const bySet = (values: readonly number[]): number[][] =>
    Array.from({ length: sets }, (_, set) => values.slice(set * experts, (set + 1) * experts));

  const toShares = (values: readonly number[]): number[][] =>
    bySet(values).map((set) => {
      const total = Math.max(1, sum(set));
      return set.map((n) => n / total);
    });

  /** Share of the picks that goes to other experts, over all sets. */
  const difference = (a: readonly number[], b: readonly number[]): number => {
    const [x, y] = [toShares(a), toShares(b)];
    const perSet = x.map((set, at) =>
      sum(set.map((share, expert) => Math.abs(share - (y[at]?.[expert] ?? 0)))),
    );
    return sum(perSet) / (2 * sets);
  };

  const isEnough = (values: readonly number[], perExpert: number): boolean =>
    sum(values) >= perExpert * size;

  return {
    add: (picks) => {
      // Small pieces are joined until they can tell a shift from chance.
      pending = pending.map((n, at) => n + (picks[at] ?? 0));
      if (!isEnough(pending, PICKS_FOR_SHIFT)) return;
      const isShift = isEnough(estimate, PICKS_FOR_SHIFT) && difference(pending, estimate) > SHIFT;
      pieces = isShift ? 0 : pieces + 1;
      const kept = isShift ? 0 : KEPT;
      estimate = estimate.map((n, at) => n * kept + (pending[at] ?? 0));
      pending = new Array<number>(size).fill(0);
    },
    shares: () => (isEnough(estimate, PICKS_FOR_SHARES) ? toShares(estimate) : undefined),
    sinceShift: () => pieces,
  };
};
