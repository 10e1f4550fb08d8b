import type { Clock } from '@plantaindrum/common';

/** Sums by name that fade with age: what happened `lifeMs` ago counts 1/e. */
export interface DecayedSums {
  add(name: string, amount: number): void;
  /** The faded sum of a name. */
  of(name: string): number;
  /** The mean rate of a name over the life of the sums, per millisecond. */
  rateOf(name: string): number;
  names(): string[];
}

/** Below this a name is forgotten. */
const NEGLIGIBLE = 1e-3;
/** A rate is taken over at least this share of the life. */
const LEAST_COVERED = 0.2;

/** Creates empty sums. */
export const createDecayedSums = (clock: Clock, lifeMs: number): DecayedSums => {
  const sums = new Map<string, { value: number; at: number }>();
  let begunAt: number | undefined;

  const faded = ({ value, at }: { value: number; at: number }, now: number): number =>
    value * Math.exp((at - now) / lifeMs);

  const of = (name: string): number => {
    const sum = sums.get(name);
    return sum ? faded(sum, clock.monotonic()) : 0;
  };

  return {
    add: (name, amount) => {
      begunAt ??= clock.monotonic();
      const value = of(name) + amount;
      sums.set(name, { value, at: clock.monotonic() });
    },
    of,
    rateOf: (name) => {
      // Young sums cover less than their life: over the whole of it the rate would look too low.
      const age = clock.monotonic() - (begunAt ?? clock.monotonic());
      const covered = lifeMs * (1 - Math.exp(-age / lifeMs));
      return of(name) / Math.max(covered, LEAST_COVERED * lifeMs);
    },
    names: () => {
      const now = clock.monotonic();
      sums.forEach((sum, name) => {
        if (faded(sum, now) < NEGLIGIBLE) sums.delete(name);
      });
      return [...sums.keys()];
    },
  };
};
