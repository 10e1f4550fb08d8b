/** What is kept of ended attempts, for entries that ask again after a lost link. */

import type { Clock } from '@plantaindrum/common';
import type { Attempt } from './attempt.js';

/** Bounds on what is kept. */
export interface EndedLimits {
  /** How long the outcome of an ended attempt is kept, in milliseconds. */
  rememberMs: number;
  /** Most ended attempts that are kept. */
  most: number;
}

/** The ended attempts of an agent. */
export interface EndedAttempts {
  add(attempt: Attempt): void;
  /** Whether the entry has everything of the attempt; true only at the moment it became so. */
  noteDelivery(attempt: Attempt): boolean;
  /** The entry is gone: nobody waits for what is left of the answer. */
  abandon(attempt: Attempt): boolean;
  /** Ended attempts whose bytes or outcome the entry doesn't have yet. */
  undelivered(): number;
  /** Drops what is too old or too much; `drop` is told of each. */
  expire(drop: (attempt: Attempt) => void): void;
}

/** Creates an empty set. */
export const createEndedAttempts = (clock: Clock, limits: EndedLimits): EndedAttempts => {
  /** In the order of their ends. */
  const kept = new Set<Attempt>();
  const undelivered = new Set<Attempt>();

  const isExpired = (attempt: Attempt): boolean =>
    kept.size > limits.most || attempt.endedAt() <= clock.monotonic() - limits.rememberMs;

  return {
    add: (attempt) => {
      kept.add(attempt);
      if (!attempt.abandoned()) undelivered.add(attempt);
    },
    noteDelivery: (attempt) => {
      const { answer } = attempt;
      return answer.delivered() && answer.kept() === 0 && undelivered.delete(attempt);
    },
    abandon: (attempt) => undelivered.delete(attempt),
    undelivered: () => undelivered.size,
    expire: (drop) => {
      for (const attempt of kept) {
        if (!isExpired(attempt)) return;
        kept.delete(attempt);
        undelivered.delete(attempt);
        drop(attempt);
      }
    },
  };
};
