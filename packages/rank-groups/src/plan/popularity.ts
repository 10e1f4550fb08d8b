/**
 * Estimates the current popularity of each expert from counts that arrive in small parts.
 *
 * Most of a group's selections follow one distribution, which stays the same for seconds and then
 * shifts at once. The rest depends on the content of the streams in flight, which differs between
 * ranks and changes as streams end. If each rank's counts were a sample of their own, one rank's
 * streams would look like a shift, and the map would be changed for them several times a second. So
 * the counts of all ranks are summed into one sample, samples are remembered for as long as streams
 * last, and a shift is a difference well above the typical one between samples.
 */

import type { Clock } from '@plantaindrum/common';

/** Estimate of the experts' popularity. */
export interface Popularity {
  /** Adds the selection counts of a rank since its last call, set by set. */
  add(counts: readonly number[]): void;
  /**
   * Returns each expert's share of its set's selections; undefined before there are enough counts.
   */
  shares(): number[][] | undefined;
  /** Number of samples since the last detected shift. */
  samplesSinceShift(): number;
}

/** Options of `createPopularity`. */
export interface PopularityOptions {
  sets: number;
  experts: number;
  /** Number of ranks whose counts make a sample. */
  ranks: () => number;
  /** Time in which every rank reports its counts once, in ms. */
  sampleMs: () => number;
  clock: Clock;
}

/**
 * Decay time of a sample's weight, in ms: about the duration of a stream. Replayed on counts of 12
 * ranks from two runs of 30 s with 11 shifts each, the busiest rank was at 1.53 and 1.65 of the
 * mean with 124 and 153 experts copied. With each rank's counts as a sample of its own it was at
 * 1.62 and 1.71, with 286 and 265 copied. Between 500 and 4,000 ms the figures differ only by
 * chance.
 */
const DECAY_MS = 1_000;
/**
 * Minimum share of the selections that moves to other experts in a shift, for groups of up to
 * `MIN_SHIFT_RANKS` ranks; without a shift, samples of 12 to 16 ranks differ by 0.05. For more
 * ranks the limit decreases with the square root of their number, as does the random difference,
 * because a sample covers more streams. With the undiminished limit, shifts of 0.2 to 0.3 in the
 * middle of a sample of 63 ranks were only detected in the next sample.
 */
const MIN_SHIFT = 0.13;
const MIN_SHIFT_RANKS = 16;
/**
 * Lower limit for groups of any size, because the content of streams always differs a little
 * between samples.
 */
const MIN_SHIFT_ANY_SIZE = 0.05;

/** Minimum difference that counts as a shift in a group of this number of ranks. */
export const minShift = (ranks: number): number =>
  Math.max(
    MIN_SHIFT_ANY_SIZE,
    MIN_SHIFT * Math.sqrt(Math.min(1, MIN_SHIFT_RANKS / Math.max(1, ranks))),
  );
/** A shift exceeds the mean difference by this many times its deviation. */
const DEVIATIONS = 4;
/** Weight of a new sample in the moving average of the differences: about ten samples, a second. */
const EWMA_WEIGHT = 0.1;
/**
 * Maximum number of successive samples above the limit that one shift causes; after more, the
 * differences are taken as typical.
 */
const MAX_SHIFT_SAMPLES = 2;
/** Minimum counts in a sample for each expert of a set: its random error is then below 0.04. */
const MIN_COUNTS_PER_EXPERT = 150;

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/** Share of the selections that goes to other experts, averaged over the sets. */
export const shareDifference = (
  a: readonly (readonly number[])[],
  b: readonly (readonly number[])[],
): number => {
  const perSet = a.map((set, at) =>
    sum(set.map((share, expert) => Math.abs(share - (b[at]?.[expert] ?? 0)))),
  );
  return sum(perSet) / (2 * Math.max(1, a.length));
};

/**
 * Tracks the typical difference between a sample and the estimate, and detects differences above
 * it.
 */
const createDifferenceBaseline = (minLimit: () => number) => {
  let mean = minLimit() / 2;
  let deviation = minLimit() / 2 / DEVIATIONS;
  let samplesAboveLimit = 0;
  return {
    /** Whether a difference exceeds the limit; otherwise it updates the moving averages. */
    exceedsLimit: (difference: number): boolean => {
      const limit = Math.max(minLimit(), mean + DEVIATIONS * deviation);
      samplesAboveLimit = difference > limit ? samplesAboveLimit + 1 : 0;
      // A shift exceeds the limit in one sample, or in two if it comes in the middle of one. It
      // must not update the averages: with a shift every ten samples, later shifts would be taken
      // as typical, and the map would not change.
      if (samplesAboveLimit > 0 && samplesAboveLimit <= MAX_SHIFT_SAMPLES) return true;
      const observed = Math.min(difference, limit);
      deviation += (Math.abs(observed - mean) - deviation) * EWMA_WEIGHT;
      mean += (observed - mean) * EWMA_WEIGHT;
      return samplesAboveLimit > 0;
    },
  };
};

/** Creates the estimate for a group with this number of sets and experts. */
export const createPopularity = (options: PopularityOptions): Popularity => {
  const { sets, experts, ranks, sampleMs, clock } = options;
  const size = sets * experts;
  const baseline = createDifferenceBaseline(() => minShift(ranks()));
  let estimate = new Array<number>(size).fill(0);
  let pending = new Array<number>(size).fill(0);
  let sampleCount = 0;
  let closedAt = clock.monotonic();

  const bySet = (values: readonly number[]): number[][] =>
    Array.from({ length: sets }, (_, set) => values.slice(set * experts, (set + 1) * experts));

  const toShares = (values: readonly number[]): number[][] =>
    bySet(values).map((set) => {
      const total = Math.max(1, sum(set));
      return set.map((n) => n / total);
    });

  const hasEnoughCounts = (values: readonly number[]): boolean =>
    sum(values) >= MIN_COUNTS_PER_EXPERT * size;

  const isShift = (sample: readonly number[]): boolean =>
    hasEnoughCounts(estimate) &&
    baseline.exceedsLimit(shareDifference(toShares(sample), toShares(estimate)));

  const closeSample = (now: number): void => {
    const hasShifted = isShift(pending);
    const decay = hasShifted ? 0 : Math.exp(-(now - closedAt) / DECAY_MS);
    sampleCount = hasShifted ? 0 : sampleCount + 1;
    estimate = estimate.map((n, at) => n * decay + (pending[at] ?? 0));
    pending = new Array<number>(size).fill(0);
    closedAt = now;
  };

  return {
    add: (counts) => {
      pending = pending.map((n, at) => n + (counts[at] ?? 0));
      const now = clock.monotonic();
      if (now - closedAt >= sampleMs() && hasEnoughCounts(pending)) closeSample(now);
    },
    shares: () => (hasEnoughCounts(estimate) ? toShares(estimate) : undefined),
    samplesSinceShift: () => sampleCount,
  };
};
