import type { Clock } from '@plantaindrum/common';
import type { RouteTicket } from './types.js';

/** How fast one upstream begins its answers, counted from the start at the engine. */
export interface Pace {
  ticket(onEnded: () => void): RouteTicket;
  /** Smoothed milliseconds from start to first byte; undefined with too few samples. */
  smoothedMs(): number | undefined;
  /** How long the oldest started request has waited for its first byte, in milliseconds. */
  oldestWaitMs(): number;
  /** Requests that failed in a row since the last first byte. */
  failures(): number;
  /** Forgets the samples, after the upstream was ejected. */
  reset(): void;
}

/** Weight of the newest sample. */
const SMOOTHING = 0.2;
/** Fewer samples than this say nothing. */
const LEAST_SAMPLES = 5;

/**
 * Creates the pace of one upstream. The wait in the agent's queue is left out: it differs by class
 * and shows in the load, and would make a busy upstream look broken.
 */
export const createPace = (clock: Clock): Pace => {
  const awaiting = new Set<{ since: number }>();
  let smoothed = 0;
  let samples = 0;
  let failures = 0;

  const sample = (ms: number) => {
    samples += 1;
    smoothed = samples === 1 ? ms : smoothed + SMOOTHING * (ms - smoothed);
  };

  return {
    ticket: (onEnded) => {
      let waiting: { since: number } | undefined;
      let ended = false;
      return {
        started: () => {
          if (waiting || ended) return;
          waiting = { since: clock.monotonic() };
          awaiting.add(waiting);
        },
        firstByte: () => {
          failures = 0;
          if (waiting && awaiting.delete(waiting)) sample(clock.monotonic() - waiting.since);
        },
        failed: () => {
          failures += 1;
        },
        ended: () => {
          if (ended) return;
          ended = true;
          if (waiting) awaiting.delete(waiting);
          onEnded();
        },
      };
    },
    smoothedMs: () => (samples >= LEAST_SAMPLES ? smoothed : undefined),
    oldestWaitMs: () => {
      const [oldest] = awaiting;
      return oldest ? clock.monotonic() - oldest.since : 0;
    },
    failures: () => failures,
    reset: () => {
      failures = 0;
      samples = 0;
      awaiting.clear();
    },
  };
};
