import type { Clock } from '@plantaindrum/common';

/** Measures how long started work takes to its first byte, by class. */
export interface FirstByteMeter {
  started(id: string, className: string): void;
  firstByte(id: string): void;
  /** Forgets an item that has ended. */
  ended(id: string): void;
  /** Smoothed milliseconds from start to first byte; 0 before the first sample. */
  expectedMs(className: string): number;
}

/** Weight of the newest sample. */
const SMOOTHING = 0.1;

/** Creates the meter of one upstream. */
export const createFirstByteMeter = (clock: Clock): FirstByteMeter => {
  const waiting = new Map<string, { className: string; since: number }>();
  const smoothed = new Map<string, number>();

  return {
    started: (id, className) => {
      waiting.set(id, { className, since: clock.monotonic() });
    },
    firstByte: (id) => {
      const start = waiting.get(id);
      if (!start) return;
      waiting.delete(id);
      const sample = clock.monotonic() - start.since;
      const before = smoothed.get(start.className) ?? sample;
      smoothed.set(start.className, before + SMOOTHING * (sample - before));
    },
    ended: (id) => {
      waiting.delete(id);
    },
    expectedMs: (className) => smoothed.get(className) ?? 0,
  };
};
