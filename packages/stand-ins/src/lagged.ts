import type { Clock } from '@plantaindrum/common';

/** A value whose readers see it as it was some time ago. */
export interface Lagged<T> {
  set(value: T): void;
  /** The value as of `lagMs` ago. */
  get(): T;
  setLag(lagMs: number): void;
}

/** Creates a lagging value; `initial` counts as having always been there. */
export const createLagged = <T>(clock: Clock, initial: T, lagMs: number): Lagged<T> => {
  let lag = lagMs;
  let history: { at: number; value: T }[] = [{ at: -Infinity, value: initial }];
  return {
    set: (value) => {
      history.push({ at: clock.monotonic(), value });
    },
    get: () => {
      const seen = history.findLastIndex((entry) => entry.at <= clock.monotonic() - lag);
      if (seen > 0) history = history.slice(seen);
      return history[0]?.value ?? initial;
    },
    setLag: (ms) => {
      lag = ms;
    },
  };
};
