import type { Clock } from '@plantaindrum/common';

/** Measures the time to first byte of started items, by class. */
export interface FirstByteMeter {
  recordStart(id: string, className: string): void;
  recordFirstByte(id: string): void;
  /** Stops tracking an item that has ended. */
  forget(id: string): void;
  /** Moving average of the time to first byte, in milliseconds; 0 before the first sample. */
  expectedMs(className: string): number;
}

/** Weight of the latest sample in the moving average. */
const SMOOTHING = 0.1;

/** Creates the meter of one upstream. */
export const createFirstByteMeter = (clock: Clock): FirstByteMeter => {
  const waiting = new Map<string, { className: string; startedAt: number }>();
  const smoothed = new Map<string, number>();

  return {
    recordStart: (id, className) => {
      waiting.set(id, { className, startedAt: clock.monotonic() });
    },
    recordFirstByte: (id) => {
      const start = waiting.get(id);
      if (!start) return;
      waiting.delete(id);
      const sample = clock.monotonic() - start.startedAt;
      const before = smoothed.get(start.className) ?? sample;
      smoothed.set(start.className, before + SMOOTHING * (sample - before));
    },
    forget: (id) => {
      waiting.delete(id);
    },
    expectedMs: (className) => smoothed.get(className) ?? 0,
  };
};
