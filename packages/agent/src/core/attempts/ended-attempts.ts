/** Ended attempts that are retained for entries that query them after a lost link. */

import type { Clock } from '@plantaindrum/common';
import type { Attempt } from './attempt.js';

/** Limits on the retained attempts. */
export interface EndedAttemptLimits {
  /** How long the outcome of an ended attempt is retained, in milliseconds. */
  retentionMs: number;
  /** Maximum number of ended attempts that are retained. */
  maxEnded: number;
}

/** The ended attempts of an agent. */
export interface EndedAttempts {
  add(attempt: Attempt): void;
  /** Marks an attempt that is fully delivered; true only for the call that marks it. */
  markDelivered(attempt: Attempt): boolean;
  /** Gives up the delivery to an entry that did not reconnect; true if it was incomplete. */
  abandon(attempt: Attempt): boolean;
  /** Number of ended attempts whose bytes or outcome the entry has not received yet. */
  undelivered(): number;
  /** Drops attempts that exceed the limits, oldest first; calls `onExpired` for each. */
  expire(onExpired: (attempt: Attempt) => void): void;
}

/** Creates an empty set. */
export const createEndedAttempts = (clock: Clock, limits: EndedAttemptLimits): EndedAttempts => {
  /** Ordered by end time. */
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
