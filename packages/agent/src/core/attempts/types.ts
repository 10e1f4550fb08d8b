import type { AttemptId, Dispatch, Link } from '@plantaindrum/link';
import type { QueueItem } from '@plantaindrum/requests';
import type { AttemptOutcome } from './answer.js';
import type { Attempt } from './attempt.js';

/** A queued attempt. */
export interface QueuedAttempt extends QueueItem {
  attempt: Attempt;
}

/** The part of an answer that its entry has received. */
export interface ReceivedAnswer {
  head: boolean;
  bytes: number;
}

/** Handles the frames of entries that concern attempts. */
export interface AttemptManager {
  dispatch(frame: Dispatch, link: Link): void;
  cancel(id: AttemptId, link: Link): void;
  query(id: AttemptId, received: ReceivedAnswer, link: Link): void;
  credit(id: AttemptId, bytes: number, link: Link): void;
  /** Handles a closed link; its attempts wait some seconds for the same entry instance to reconnect. */
  linkLost(link: Link): void;
  /** Refuses new requests and returns queued ones as "not run". */
  drain(): void;
  /** Resolves once nothing is queued or running and every outcome has been sent. */
  waitUntilIdle(): Promise<void>;
  counts(): { queued: number; running: number; undelivered: number };
  close(): void;
}

/** Runs an attempt that has left the queue; `tryStart` returns false if it must not start any more. */
export type AttemptRunner = (
  attempt: Attempt,
  dispatch: Dispatch,
  tryStart: () => boolean,
) => Promise<AttemptOutcome>;
