/**
 * Call timeouts that adapt to observed response times. A fixed timeout that suits twelve servers on fast links
 * always fails for two hundred on slow ones, so the same call is repeated for ever, and it takes a server with a
 * queue for a failed one. As in TCP's retransmission timer (RFC 6298), the timeout is the smoothed response time
 * plus four times its smoothed deviation.
 */

import { createEstimate } from './estimate.js';
import type { Estimate } from './estimate.js';

/** Timeouts by kind of call, in ms. */
export interface AdaptiveTimeouts {
  /** Timeout of the next call of this kind, in ms. */
  timeoutMs(kind: string): number;
  /** Records the time of a response, or of a call that was given up without one. */
  record(kind: string, ms: number): void;
  /** Doubles the timeout until the next recorded time; for a call that most peers did not answer. */
  backOff(kind: string): void;
}

/** Bounds of the timeout of one kind of call, in ms. */
export interface TimeoutBounds {
  /** Timeout before the first observation. */
  first: number;
  /** Minimum; the backoff may raise the timeout above it. */
  min: number;
  /** Maximum, which also applies to the backoff. */
  max: number;
}

const EWMA_WEIGHTS = { mean: 1 / 8, deviation: 1 / 4, firstDeviation: 1 / 2 };
const DEVIATION_FACTOR = 4;
const MAX_BACKOFF_FACTOR = 8;

/** Creates the timeouts; `bounds` returns the bounds of a kind of call. */
export const createAdaptiveTimeouts = (
  bounds: (kind: string) => TimeoutBounds,
): AdaptiveTimeouts => {
  const estimates = new Map<string, Estimate>();
  const backoffFactors = new Map<string, number>();

  return {
    timeoutMs: (kind) => {
      const { first, min, max } = bounds(kind);
      const observed = estimates.get(kind)?.current();
      const expected = observed ? observed.mean + DEVIATION_FACTOR * observed.deviation : first;
      return Math.min(max, Math.max(min, expected) * (backoffFactors.get(kind) ?? 1));
    },
    record: (kind, ms) => {
      backoffFactors.delete(kind);
      const estimate = estimates.get(kind) ?? createEstimate(EWMA_WEIGHTS);
      estimates.set(kind, estimate);
      estimate.record(ms);
    },
    backOff: (kind) => {
      backoffFactors.set(kind, Math.min(MAX_BACKOFF_FACTOR, 2 * (backoffFactors.get(kind) ?? 1)));
    },
  };
};
