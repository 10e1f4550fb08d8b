/** Pass times relative to the predicted ones: their mean, and the peak of each second. */

import type { Clock } from '@plantaindrum/common';

/** Ratios of observed to predicted pass times. */
export interface PassRatios {
  record(ratio: number): void;
  mean(): number;
  /** Highest ratio of each of the last seconds with an observation, in ascending order. */
  peaks(): readonly number[];
}

/** Length of a period, in ms: streams last some two of them. */
const PERIOD_MS = 1_000;
/** Periods that are kept: shifts of expert demand are 2 to 4 s apart, so that several of them are covered. */
const MAX_PERIODS = 10;
/** Weight of the latest ratio in the mean. */
const MEAN_WEIGHT = 0.1;
/** Bounds of a ratio: outside of them the declared times don't describe the engines. */
const BOUNDS = { min: 0.5, max: 8 };

/** Creates the ratios of a group that has served nothing yet. */
export const createPassRatios = (clock: Clock): PassRatios => {
  let periods: { startedAt: number; peak: number }[] = [];
  let mean = 1;
  return {
    record: (observed) => {
      const ratio = Math.min(BOUNDS.max, Math.max(BOUNDS.min, observed));
      const now = clock.monotonic();
      mean += MEAN_WEIGHT * (ratio - mean);
      const last = periods.at(-1);
      if (last && now - last.startedAt < PERIOD_MS) last.peak = Math.max(last.peak, ratio);
      else periods.push({ startedAt: now, peak: ratio });
      periods = periods.filter(({ startedAt }) => now - startedAt < MAX_PERIODS * PERIOD_MS);
    },
    mean: () => mean,
    peaks: () => periods.map(({ peak }) => peak).sort((a, b) => a - b),
  };
};
