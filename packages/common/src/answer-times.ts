/**
 * How long to wait for an answer, from how long answers took. The pattern: a limit that was right for
 * twelve servers on wide links fails for two hundred on narrow ones, each time, and what was asked is asked
 * anew for ever; and one that waits on a server with a queue takes it for dead. The rule is that of TCP's
 * retransmission timer (RFC 6298): the usual time and four times its usual deviation.
 */

import { createEstimate } from './estimate.js';
import type { Estimate } from './estimate.js';

/** Limits by what is asked, in ms. */
export interface AnswerTimes {
  /** Limit of the next call of this kind. */
  limit(kind: string): number;
  /** An answer that came after this long, or that had not come when it was given up. */
  note(kind: string, ms: number): void;
  /** A call to which most of those asked said nothing: the limit is doubled until one is answered. */
  noteMostSilent(kind: string): void;
}

/** Bounds of one kind of call, in ms. */
export interface AnswerBounds {
  /** Limit before anything was observed. */
  first: number;
  least: number;
  most: number;
}

const WEIGHTS = { mean: 1 / 8, deviation: 1 / 4, firstDeviation: 1 / 2 };
const DEVIATIONS = 4;
const MOST_BACKOFF = 8;

/** Creates the record; `bounds` gives each kind's. */
export const createAnswerTimes = (bounds: (kind: string) => AnswerBounds): AnswerTimes => {
  const seen = new Map<string, Estimate>();
  const backoff = new Map<string, number>();

  return {
    limit: (kind) => {
      const { first, least, most } = bounds(kind);
      const times = seen.get(kind)?.usual();
      const expected = times ? times.mean + DEVIATIONS * times.deviation : first;
      return Math.min(most, Math.max(least, expected) * (backoff.get(kind) ?? 1));
    },
    note: (kind, ms) => {
      backoff.delete(kind);
      const times = seen.get(kind) ?? createEstimate(WEIGHTS);
      seen.set(kind, times);
      times.note(ms);
    },
    noteMostSilent: (kind) => {
      backoff.set(kind, Math.min(MOST_BACKOFF, 2 * (backoff.get(kind) ?? 1)));
    },
  };
};
