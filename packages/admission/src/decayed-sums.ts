import type { Clock } from '@plantaindrum/common';

/** Exponentially decaying sums by name: an amount added `timeConstantMs` ago counts 1/e. */
export interface DecayedSums {
  /** Adds an amount to the sum of a name. */
  add(name: string, amount: number): void;
  /** Decayed sum of a name. */
  sumOf(name: string): number;
  /** Mean rate of a name over the time constant, per millisecond. */
  rateOf(name: string): number;
  /** Names whose sums are not negligible. */
  names(): string[];
}

/** A name is dropped when its sum falls below this. */
const NEGLIGIBLE = 1e-3;
/** A rate covers at least this fraction of the time constant. */
const MIN_COVERED_SHARE = 0.2;

/** Creates empty sums. */
export const createDecayedSums = (clock: Clock, timeConstantMs: number): DecayedSums => {
  const sums = new Map<string, { value: number; at: number }>();
  let firstAddedAt: number | undefined;

  const decayedValue = ({ value, at }: { value: number; at: number }, now: number): number =>
    value * Math.exp((at - now) / timeConstantMs);

  const sumOf = (name: string): number => {
    const sum = sums.get(name);
    return sum ? decayedValue(sum, clock.monotonic()) : 0;
  };

  return {
    add: (name, amount) => {
      firstAddedAt ??= clock.monotonic();
      const value = sumOf(name) + amount;
      sums.set(name, { value, at: clock.monotonic() });
    },
    sumOf,
    rateOf: (name) => {
      // New sums cover less than the time constant; dividing by all of it would give too low a
      // rate.
      const elapsedMs = clock.monotonic() - (firstAddedAt ?? clock.monotonic());
      const coveredMs = timeConstantMs * (1 - Math.exp(-elapsedMs / timeConstantMs));
      return sumOf(name) / Math.max(coveredMs, MIN_COVERED_SHARE * timeConstantMs);
    },
    names: () => {
      const now = clock.monotonic();
      sums.forEach((sum, name) => {
        if (decayedValue(sum, now) < NEGLIGIBLE) sums.delete(name);
      });
      return [...sums.keys()];
    },
  };
};
