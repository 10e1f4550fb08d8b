/** What is kept of ended attempts, for entries that ask again after a lost link. */

import type { Clock } from '@plantaindrum/common';
import type { Attempt } from './attempt.js';

/** Bounds on what is kept. */
export interface EndedAttemptLimits {
  /** How long the outcome of an ended attempt is kept, in milliseconds. */
  retentionMs: number;
  /** Most ended attempts that are kept. */
  maxEnded: number;
}

/** The ended attempts of an agent. */
export interface EndedAttempts {
  add(attempt: Attempt): void;
  /** Whether the entry has everything of the attempt; true only at the moment it became so. */
  markDelivered(attempt: Attempt): boolean;
  /** The entry is gone: nobody waits for what is left of the answer. */
  abandon(attempt: Attempt): boolean;
  /** Ended attempts whose bytes or outcome the entry doesn't have yet. */
  undelivered(): number;
  /** Drops what is too old or too much; `drop` is told of each. */
  expire(onExpired: (attempt: Attempt) => void): void;
}

/** Creates an empty set. */
export const createEndedAttempts = (clock: Clock, limits: EndedAttemptLimits): EndedAttempts => {
  /** In the order of their ends. */
  const endedAttempts = new Set<Attempt>();
  const undelivered = new Set<Attempt>();

  const isExpired = (attempt: Attempt): boolean =>
    endedAttempts.size > limits.maxEnded ||
    attempt.endedAt() <= clock.monotonic() - limits.retentionMs;

  return {
    add: (attempt) => {
      endedAttempts.add(attempt);
      if (!attempt.abandoned()) undelivered.add(attempt);
    },
    markDelivered: (attempt) => {
      const { answer } = attempt;
      return answer.delivered() && answer.bufferedBytes() === 0 && undelivered.delete(attempt);
    },
    abandon: (attempt) => undelivered.delete(attempt),
    undelivered: () => undelivered.size,
    expire: (onExpired) => {
      for (const attempt of endedAttempts) {
        if (!isExpired(attempt)) return;
        endedAttempts.delete(attempt);
        undelivered.delete(attempt);
        onExpired(attempt);
      }
    },
  };
};
