import { createSeededRandom } from '@plantaindrum/common';

/** How the popularity of experts moves: not at all, slowly, at once, or to and fro. */
export type PopularityMotion = 'steady' | 'drift' | 'shift' | 'cycle';

/** The share of tokens that goes to each expert of each layer. */
export interface Popularity {
  /** Shares by layer and expert at a step; each layer sums to 1. */
  at(step: number): number[][];
  /** `shift` deals the experts anew from the seed, once; the others last until the next move. */
  move(motion: PopularityMotion, seed?: number): void;
}

const DRIFT_PERIOD_STEPS = 4000;
const DRIFT_DEPTH = 0.8;
/** Steps between two changes of a cycle, as between releases. */
const CYCLE_STEPS = 2000;
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

/** Creates a seeded trace: a Zipf-like order of experts, with a sine of its own for each. */
export const createPopularity = (layers: number, experts: number, seed: number): Popularity => {
  const deal = (dealtSeed: number): number[][] =>
    Array.from({ length: layers }, (_, layer) => shuffled(experts, dealtSeed * 1000 + layer));
  let dealt = seed;
  let motion: PopularityMotion = 'steady';
  let orders = [deal(dealt), deal(dealt + 1)];
  let cached: { moment: number; shares: number[][] } | undefined;

  /** Steps with the same moment have the same popularity. */
  const momentOf = (step: number): number => {
    if (motion === 'drift') return step;
    return motion === 'cycle' ? Math.floor(step / CYCLE_STEPS) % 2 : 0;
  };

  const weight = (layer: number, expert: number, moment: number): number => {
    const order = orders[motion === 'cycle' ? moment : 0];
    const place = order?.[layer]?.[expert] ?? 0;
    const base = 1 / (place + 1) ** SKEW_EXPONENT;
    if (motion !== 'drift') return base;
    const phase = (expert / experts) * 2 * Math.PI;
    return base * (1 + DRIFT_DEPTH * Math.sin((moment / DRIFT_PERIOD_STEPS) * 2 * Math.PI + phase));
  };

  return {
    at: (step) => {
      const moment = momentOf(step);
      if (cached?.moment === moment) return cached.shares;
      const shares = Array.from({ length: layers }, (_, layer) =>
        normalized(Array.from({ length: experts }, (__, expert) => weight(layer, expert, moment))),
      );
      cached = { moment, shares };
      return shares;
    },
    move: (next, nextSeed) => {
      cached = undefined;
      if (next !== 'shift') {
        motion = next;
        return;
      }
      dealt = nextSeed ?? dealt + 1;
      orders = [deal(dealt), deal(dealt + 1)];
    },
  };
};
