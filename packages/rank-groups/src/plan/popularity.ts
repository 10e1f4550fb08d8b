/**
 * How popular each expert is now, from counts that arrive in small pieces.
 *
 * The pattern: most of a group's picks follow one popularity, which stays the same for seconds and then
 * shifts at once. The rest follows what the streams in flight are about, which differs from rank to
 * rank and turns over as streams end. Taken rank by rank, one rank's streams look like a shift, and
 * the map is changed for them several times a second. So the counts of all ranks are summed to one
 * piece, pieces are remembered for as long as streams last, and a shift is a difference well above
 * those that pieces usually show.
 */

import type { Clock } from '@plantaindrum/common';

/** Estimate of the experts' popularity. */
export interface Popularity {
  /** Takes the picks of some rank since its last call, set by set. */
  add(picks: readonly number[]): void;
  /** Share of a set's picks that goes to each expert; undefined before enough is known. */
  shares(): number[][] | undefined;
  /** Pieces since the last shift that was noticed. */
  sinceShift(): number;
}

/** Options of `createPopularity`. */
export interface PopularityOptions {
  sets: number;
  experts: number;
  /** Ranks whose picks make a piece. */
  ranks: () => number;
  /** Time in which every rank tells its picks once, in ms. */
  pieceMs: () => number;
  clock: Clock;
}

/**
 * Time after which a piece counts 1/e, in ms: about as long as a stream lasts. Replayed on counts that
 * 12 ranks made in two runs of 30 s with 11 shifts each, the busiest rank was at 1.53 and 1.65 of the
 * mean with 124 and 153 experts copied; with each rank's counts a piece of its own it was at 1.62 and
 * 1.71 with 286 and 265. Between 500 and 4,000 ms the figures differ by chance only.
 */
const MEMORY_MS = 1_000;
/**
 * Least share of the picks that goes to other experts in a shift: pieces of twelve to sixteen ranks differ by 0.05
 * while popularity stays. The more ranks, the more streams are behind a piece, and the less it differs by
 * chance, by the root of their number. With 63 ranks a shift of 0.2 to 0.3 that came in the middle of a piece
 * went unnoticed until the next.
 */
const LEAST_SHIFT = 0.13;
const RANKS_OF_LEAST = 16;
/** What streams are about differs a little from piece to piece in a group of any size. */
const LEAST_OF_ALL = 0.05;

const leastShift = (ranks: number): number =>
  Math.max(LEAST_OF_ALL, LEAST_SHIFT * Math.sqrt(Math.min(1, RANKS_OF_LEAST / Math.max(1, ranks))));
/** A shift differs by the usual difference and this many times its usual deviation. */
const DEVIATIONS = 4;
/** Weight of a new piece in the usual difference: some ten pieces, a second, are remembered. */
const USUAL_WEIGHT = 0.1;
/** Pieces in a row that a shift may differ in; where more do, it is usual that they differ. */
const PIECES_OF_SHIFT = 2;
/** Picks that a piece needs, for each expert of a set: its own chance is then below 0.04. */
const PICKS_FOR_PIECE = 150;

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/** The usual difference between a piece and the estimate, and whether one is beyond it. */
const createUsualDifference = (least: () => number) => {
  let usual = least() / 2;
  let deviation = least() / 2 / DEVIATIONS;
  let beyond = 0;
  return {
    /** Whether a difference is beyond the usual; it becomes a little more usual by it. */
    isBeyond: (difference: number): boolean => {
      const limit = Math.max(least(), usual + DEVIATIONS * deviation);
      beyond = difference > limit ? beyond + 1 : 0;
      // A shift is beyond in one piece, or in two where it came in the middle of one. It teaches nothing: with a
      // shift every ten pieces the next ones would pass for usual, and the map would stay as it was.
      if (beyond > 0 && beyond <= PIECES_OF_SHIFT) return true;
      const taught = Math.min(difference, limit);
      deviation += (Math.abs(taught - usual) - deviation) * USUAL_WEIGHT;
      usual += (taught - usual) * USUAL_WEIGHT;
      return beyond > 0;
    },
  };
};

/** Creates the estimate for a group of this many sets and experts. */
export const createPopularity = (options: PopularityOptions): Popularity => {
  const { sets, experts, ranks, pieceMs, clock } = options;
  const size = sets * experts;
  const usual = createUsualDifference(() => leastShift(ranks()));
  let estimate = new Array<number>(size).fill(0);
  let pending = new Array<number>(size).fill(0);
  let pieces = 0;
  let closedAt = clock.monotonic();

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

  const isEnough = (values: readonly number[]): boolean => sum(values) >= PICKS_FOR_PIECE * size;

  const isShift = (piece: readonly number[]): boolean =>
    isEnough(estimate) && usual.isBeyond(difference(piece, estimate));

  const close = (now: number): void => {
    const isNew = isShift(pending);
    const kept = isNew ? 0 : Math.exp(-(now - closedAt) / MEMORY_MS);
    pieces = isNew ? 0 : pieces + 1;
    estimate = estimate.map((n, at) => n * kept + (pending[at] ?? 0));
    pending = new Array<number>(size).fill(0);
    closedAt = now;
  };

  return {
    add: (picks) => {
      pending = pending.map((n, at) => n + (picks[at] ?? 0));
      const now = clock.monotonic();
      if (now - closedAt >= pieceMs() && isEnough(pending)) close(now);
    },
    shares: () => (isEnough(estimate) ? toShares(estimate) : undefined),
    sinceShift: () => pieces,
  };
};
