import type { AttemptId, Dispatch, Link } from '@plantaindrum/link';
import type { QueueItem } from '@plantaindrum/requests';
import type { AttemptOutcome } from './answer.js';
import type { Attempt } from './attempt.js';

/** An attempt's place in the queue. */
export interface QueuedAttempt extends QueueItem {
  attempt: Attempt;
}

/** What an entry holds of an answer. */
export interface ReceivedAnswer {
  head: boolean;
  bytes: number;
}

/** Takes the frames of entries that concern attempts. */
export interface AttemptManager {
  dispatch(frame: Dispatch, link: Link): void;
  cancel(id: AttemptId, link: Link): void;
  query(id: AttemptId, received: ReceivedAnswer, link: Link): void;
  credit(id: AttemptId, bytes: number, link: Link): void;
  /** The link has ended; its attempts wait a while for the same entry instance to come back. */
  linkLost(link: Link): void;
  /** Refuses new work and hands back what hasn't started. */
  drain(): void;
  /** Resolves once nothing is queued or running and every outcome has been sent. */
  idle(): Promise<void>;
  counts(): { queued: number; running: number; undelivered: number };
  close(): void;
}

/** Runs an attempt that has left the queue; `begin` is false when it must not start any more. */
export type AttemptRunner = (
  attempt: Attempt,
  dispatch: Dispatch,
  tryStart: () => boolean,
) => Promise<AttemptOutcome>;
