import { createSeededRandom } from '@plantaindrum/common';

/** How the popularity of experts moves: not at all, slowly, or at once. */
export type PopularityMotion = 'steady' | 'drift' | 'shift';

/** The share of tokens that goes to each expert of each layer. */
export interface Popularity {
  /** Shares by layer and expert at a step; each layer sums to 1. */
  at(step: number): number[][];
  /** `shift` deals the experts anew from the seed; `drift` starts or goes on, `steady` stops. */
  move(motion: PopularityMotion, seed?: number): void;
}

const DRIFT_PERIOD_STEPS = 4000;
const DRIFT_DEPTH = 0.8;
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
  let dealt = seed;
  let drifting = false;
  const orders = (): number[][] =>
    Array.from({ length: layers }, (_, layer) => shuffled(experts, dealt * 1000 + layer));
  let order = orders();
  let cached: { step: number; shares: number[][] } | undefined;

  const weight = (layer: number, expert: number, step: number): number => {
    const place = order[layer]?.[expert] ?? 0;
    const base = 1 / (place + 1) ** SKEW_EXPONENT;
    if (!drifting) return base;
    const phase = (expert / experts) * 2 * Math.PI;
    return base * (1 + DRIFT_DEPTH * Math.sin((step / DRIFT_PERIOD_STEPS) * 2 * Math.PI + phase));
  };

  return {
    at: (step) => {
      if (cached && (!drifting || cached.step === step)) return cached.shares;
      const shares = Array.from({ length: layers }, (_, layer) =>
        normalized(Array.from({ length: experts }, (__, expert) => weight(layer, expert, step))),
      );
      cached = { step, shares };
      return shares;
    },
    move: (motion, nextSeed) => {
      cached = undefined;
      drifting = motion === 'drift' || (motion === 'shift' && drifting);
      if (motion !== 'shift') return;
      dealt = nextSeed ?? dealt + 1;
      order = orders();
    },
  };
};
