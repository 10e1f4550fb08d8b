import type { AttemptId, Dispatch, Link, Load } from '@plantaindrum/link';
import type { Answer, AttemptOutcome } from './answer.js';
import { createAnswer } from './answer.js';

/** Where an attempt stands. */
export type AttemptState = 'queued' | 'running' | 'ended';

/** One attempt that this agent knows; an attempt that must never start is `ended` from the first. */
export interface Attempt {
  readonly id: AttemptId;
  readonly answer: Answer;
  readonly abort: AbortController;
  /** Monotonic time of the arrival, in milliseconds. */
  readonly arrivedAt: number;
  state(): AttemptState;
  /** Whether the upstream has been given the attempt. */
  started(): boolean;
  /** What to run; undefined once the attempt has ended. */
  dispatch(): Dispatch | undefined;
  /** Monotonic time of the end, in milliseconds; 0 before. */
  endedAt(): number;
  dequeue(): void;
  /** The upstream is about to be given the attempt. */
  start(): void;
  end(outcome: AttemptOutcome, time: number): void;
  /** Its entry did not come back: nobody waits for the answer. */
  abandon(): void;
  abandoned(): boolean;
}

/** What an attempt starts from. */
export interface AttemptOptions {
  id: AttemptId;
  /** The link and the work of its dispatch; none for an attempt that only has a tombstone. */
  link?: Link;
  work?: Dispatch;
  arrivedAt: number;
  load: () => Load;
  onDelivered: (attempt: Attempt) => void;
}

/** Creates an attempt that waits in the queue. */
export const createAttempt = (options: AttemptOptions): Attempt => {
  const { id, link, arrivedAt, load, onDelivered } = options;
  let { work: dispatch } = options;
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
