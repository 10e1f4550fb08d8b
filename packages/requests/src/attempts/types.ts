import type { AttemptId } from '@plantaindrum/link';
import type { Outcome } from '../outcomes.js';

/** State of an attempt at the agent. */
export type AttemptState = 'queued' | 'started' | 'answered' | 'not-run' | 'unknown';

/** How the agent must handle a dispatch frame. */
export type DispatchDecision =
  /** New attempt: queue it. */
  | 'accept'
  /** The id is already known: drop the frame and count it. */
  | 'duplicate'
  /** The id has a tombstone: answer `not-run`. */
  | 'refuse-tombstone'
  /** Records of ids this old have been dropped: answer `unknown`. */
  | 'refuse-forgotten';

/** How the agent must handle a cancel frame. */
export type CancelDecision =
  /** The attempt was queued or not seen yet and now has a tombstone: answer `not-run`. */
  | 'not-run'
  /** The attempt is running: stop the upstream, then answer `unknown`. */
  | 'stop-upstream'
  /** The attempt has ended: nothing to do. */
  | 'ended';

/** The agent's answer to a query. */
export type QueryDecision = 'not-run' | 'queued' | 'started' | 'answered' | 'unknown';

/** The agent's registry of attempts. Only it can state that a sent attempt has not run. */
export interface AttemptStateRegistry {
  /** Registers a dispatched attempt as queued, if it is new. */
  dispatch(id: AttemptId): DispatchDecision;
  /** Marks a queued attempt as started; false when it was cancelled and must not start. */
  start(id: AttemptId): boolean;
  /** Closes a queued attempt as not run; false when it has started or ended. */
  refuse(id: AttemptId): boolean;
  /** Closes a started attempt; false when it was not running. */
  end(id: AttemptId, outcome: 'answered' | 'unknown'): boolean;
  /**
   * Closes a started attempt as not run, when it can't have reached the upstream (connection
   * refused).
   */
  endUnsent(id: AttemptId): boolean;
  /** Closes an attempt that has not started. */
  cancel(id: AttemptId): CancelDecision;
  /**
   * Returns the state of an attempt. An unknown id gets a tombstone, so that a frame in flight
   * can't start it.
   */
  query(id: AttemptId): QueryDecision;
  state(id: AttemptId): AttemptState | undefined;
  /** Number of attempts and tombstones in memory. */
  size(): number;
}

/** State of an attempt at the entry. */
export type SentState = 'unsent' | 'sent' | 'started' | 'closed';

/** Events of an attempt at the entry. */
export type AttemptEvent =
  | { kind: 'send-failed' }
  | { kind: 'sent' }
  | { kind: 'started' }
  | { kind: 'progress' }
  | { kind: 'end' }
  | { kind: 'not-run' }
  | { kind: 'unknown' }
  /** The link was lost; the same agent instance can still be queried. */
  | { kind: 'link-lost' }
  /** The agent instance has exited: its record of the attempt is lost. */
  | { kind: 'instance-gone' }
  /** The entry stops waiting. */
  | { kind: 'gave-up' };

/** The entry's record of one attempt; it determines the outcome that the caller receives. */
export interface SentAttempt {
  readonly id: AttemptId;
  state(): SentState;
  /** The final outcome; undefined until the attempt is closed. */
  outcome(): Outcome | undefined;
  /**
   * Applies an event. `closed`: the attempt has its final outcome; `query`: query the same agent
   * instance after a reconnect; `late`: the event doesn't apply any more, drop and count the frame.
   */
  apply(event: AttemptEvent): AttemptStep;
}

/** How the entry must proceed after an event. */
export type AttemptStep =
  | { step: 'continue' }
  | { step: 'query' }
  | { step: 'late' }
  | { step: 'closed'; outcome: Outcome };
