import type { Clock } from '@plantaindrum/common';

/** A value whose changes become visible to readers after a delay. */
export interface Lagged<T> {
  set(value: T): void;
  /** Returns the value as of `lagMs` ago. */
  get(): T;
  setLag(lagMs: number): void;
}

/** Creates a delayed value; `initial` is visible at once. */
export const createLagged = <T>(clock: Clock, initial: T, lagMs: number): Lagged<T> => {
  let currentLagMs = lagMs;
  let history: { at: number; value: T }[] = [{ at: -Infinity, value: initial }];
  return {
    set: (value) => {
      history.push({ at: clock.monotonic(), value });
    },
    get: () => {
      const visibleIndex = history.findLastIndex(
        (entry) => entry.at <= clock.monotonic() - currentLagMs,
      );
      if (visibleIndex > 0) history = history.slice(visibleIndex);
      return history[0]?.value ?? initial;
    },
    setLag: (ms) => {
      currentLagMs = ms;
    },
  };
};
