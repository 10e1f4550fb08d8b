import type { Clock } from '@plantaindrum/common';

/** Sums by name that fade with age: what happened `lifeMs` ago counts 1/e. */
export interface DecayedSums {
  add(name: string, amount: number): void;
  /** The faded sum of a name. */
  of(name: string): number;
  names(): string[];
}

/** Below this a name is forgotten. */
const NEGLIGIBLE = 1e-3;

/** Creates empty sums. */
export const createDecayedSums = (clock: Clock, lifeMs: number): DecayedSums => {
  const sums = new Map<string, { value: number; at: number }>();

  const faded = ({ value, at }: { value: number; at: number }, now: number): number =>
    value * Math.exp((at - now) / lifeMs);

  const of = (name: string): number => {
    const sum = sums.get(name);
    return sum ? faded(sum, clock.monotonic()) : 0;
  };

  return {
    add: (name, amount) => {
      const value = of(name) + amount;
      sums.set(name, { value, at: clock.monotonic() });
    },
    of,
    names: () => {
      const now = clock.monotonic();
      sums.forEach((sum, name) => {
        if (faded(sum, now) < NEGLIGIBLE) sums.delete(name);
      });
      return [...sums.keys()];
    },
  };
};
