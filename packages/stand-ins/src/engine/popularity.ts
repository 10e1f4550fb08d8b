import { createSeededRandom } from '@plantaindrum/common';

/**
 * How expert popularity changes: not at all, gradually, abruptly, or alternating between two
 * states.
 */
export type PopularityMotion = 'steady' | 'drift' | 'shift' | 'cycle';

/** Fraction of the tokens that each expert of each layer receives. */
export interface Popularity {
  /** Returns the fractions at a step, by layer and expert; those of a layer add up to 1. */
  at(step: number): number[][];
  /**
   * `shift` shuffles the experts once, with the seed; other motions apply until the next change.
   */
  setMotion(motion: PopularityMotion, seed?: number): void;
}

const DRIFT_PERIOD_STEPS = 4000;
/** Amplitude of the drift, relative to an expert's base weight. */
const DRIFT_DEPTH = 0.8;
/** Steps between two changes of a cycle; simulates successive releases. */
const CYCLE_STEPS = 2000;
/** Exponent of the Zipf distribution. */
const SKEW_EXPONENT = 0.7;

const shuffled = (count: number, seed: number): number[] => {
  const random = createSeededRandom(seed);
  return Array.from({ length: count }, (_, index) => ({ index, key: random() }))
    .sort((a, b) => a.key - b.key)
    .map(({ index }) => index);
};

const normalized = (weights: number[]): number[] => {
  const sum = weights.reduce((a, b) => a + b, 0);
  return weights.map((weight) => weight / sum);
};

/**
 * Creates a seeded model: Zipf-distributed weights; `drift` modulates each expert by a
 * phase-shifted sine.
 */
export const createPopularity = (layers: number, experts: number, seed: number): Popularity => {
  const shuffleLayers = (baseSeed: number): number[][] =>
    Array.from({ length: layers }, (_, layer) => shuffled(experts, baseSeed * 1000 + layer));
  let currentSeed = seed;
  let motion: PopularityMotion = 'steady';
  let orders = [shuffleLayers(currentSeed), shuffleLayers(currentSeed + 1)];
  let cached: { timeIndex: number; shares: number[][] } | undefined;

  /** Maps a step to a time index; steps with the same index have the same popularity. */
  const timeIndexOf = (step: number): number => {
    if (motion === 'drift') return step;
    return motion === 'cycle' ? Math.floor(step / CYCLE_STEPS) % 2 : 0;
  };

  const weight = (layer: number, expert: number, timeIndex: number): number => {
    const order = orders[motion === 'cycle' ? timeIndex : 0];
    const popularityRank = order?.[layer]?.[expert] ?? 0;
    const base = 1 / (popularityRank + 1) ** SKEW_EXPONENT;
    if (motion !== 'drift') return base;
    const phase = (expert / experts) * 2 * Math.PI;
    return (
      base * (1 + DRIFT_DEPTH * Math.sin((timeIndex / DRIFT_PERIOD_STEPS) * 2 * Math.PI + phase))
    );
  };

  return {
    at: (step) => {
      const timeIndex = timeIndexOf(step);
      if (cached?.timeIndex === timeIndex) return cached.shares;
      const shares = Array.from({ length: layers }, (_, layer) =>
        normalized(
          Array.from({ length: experts }, (__, expert) => weight(layer, expert, timeIndex)),
        ),
      );
      cached = { timeIndex, shares };
      return shares;
    },
    setMotion: (next, nextSeed) => {
      cached = undefined;
      if (next !== 'shift') {
        motion = next;
        return;
      }
      currentSeed = nextSeed ?? currentSeed + 1;
      orders = [shuffleLayers(currentSeed), shuffleLayers(currentSeed + 1)];
    },
  };
};
