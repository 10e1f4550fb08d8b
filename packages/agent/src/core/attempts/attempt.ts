import type { AttemptId, Dispatch, Link, Load } from '@plantaindrum/link';
import type { Answer, AttemptOutcome } from './answer.js';
import { createAnswer } from './answer.js';

/** State of an attempt. */
export type AttemptState = 'queued' | 'running' | 'ended';

/** One attempt that this agent knows; an attempt that must never start is `ended` from the beginning. */
export interface Attempt {
  readonly id: AttemptId;
  readonly answer: Answer;
  readonly abort: AbortController;
  /** Monotonic time of the arrival, in milliseconds. */
  readonly arrivedAt: number;
  state(): AttemptState;
  /** Whether the request has been sent to the upstream. */
  started(): boolean;
  /** The dispatch to run; undefined once the attempt has ended. */
  dispatch(): Dispatch | undefined;
  /** Monotonic time of the end, in milliseconds; 0 before. */
  endedAt(): number;
  dequeue(): void;
  /** Marks the attempt as started, right before the request is sent to the upstream. */
  start(): void;
  end(outcome: AttemptOutcome, time: number): void;
  /** Marks the attempt as abandoned: its entry did not reconnect, so nobody waits for the answer. */
  abandon(): void;
  abandoned(): boolean;
}

/** Options of `createAttempt`. */
export interface AttemptOptions {
  id: AttemptId;
  /** The link that delivered the dispatch; like `dispatch` unset for an attempt that only has a tombstone. */
  link?: Link;
  dispatch?: Dispatch;
  arrivedAt: number;
  load: () => Load;
  onDelivered: (attempt: Attempt) => void;
}

/** Creates a queued attempt. */
export const createAttempt = (options: AttemptOptions): Attempt => {
  const { id, link, arrivedAt, load, onDelivered } = options;
  let { dispatch } = options;
  let state: AttemptState = 'queued';
  let started = false;
  let endedAt = 0;
  let abandoned = false;

  const attempt: Attempt = {
    id,
    answer: createAnswer({ id, link, load, onDelivered: () => onDelivered(attempt) }),
    abort: new AbortController(),
    arrivedAt,
    state: () => state,
    started: () => started,
    dispatch: () => dispatch,
    endedAt: () => endedAt,
    dequeue: () => {
      state = 'running';
    },
    start: () => {
      started = true;
    },
    end: (outcome, time) => {
      state = 'ended';
      endedAt = time;
      dispatch = undefined;
      attempt.answer.finish(outcome);
    },
    abandon: () => {
      abandoned = true;
    },
    abandoned: () => abandoned,
  };
  return attempt;
};
