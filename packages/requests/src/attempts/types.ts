import type { AttemptId } from '@plantaindrum/link';
import type { Outcome } from '../outcomes.js';

/** State of an attempt in the agent's ledger. */
export type AttemptState = 'queued' | 'started' | 'answered' | 'not-run' | 'unknown';

/** What the agent must do with a dispatch frame. */
export type DispatchDecision =
  /** New: the agent may queue it. */
  | 'accept'
  /** Its id is already known: the frame is dropped and counted. */
  | 'duplicate'
  /** Its id carries a tombstone: answer `not-run`. */
  | 'refuse-tombstone'
  /** The ledger has forgotten ids this old: answer `unknown`. */
  | 'refuse-forgotten';

/** What the agent must do with a cancel. */
export type CancelDecision =
  /** It was queued, or not seen yet: it has a tombstone now; answer `not-run`. */
  | 'not-run'
  /** It runs: stop the upstream, then answer `unknown`. */
  | 'stop-upstream'
  /** It has ended: nothing to do. */
  | 'ended';

/** The agent's answer to a query. */
export type QueryDecision = 'not-run' | 'queued' | 'started' | 'answered' | 'unknown';

/** The agent's record of attempts; the only source of "not run". */
export interface AttemptLedger {
  dispatch(id: AttemptId): DispatchDecision;
  /** The upstream is about to get it; false when it was cancelled first and must not start. */
  start(id: AttemptId): boolean;
  /** Closes a queued attempt with a tombstone; false when it has started or ended. */
  refuse(id: AttemptId): boolean;
  /** Closes a started attempt; false when it wasn't running. */
  end(id: AttemptId, outcome: 'answered' | 'unknown'): boolean;
  /** Closes a started attempt that the upstream provably never got (connection refused). */
  endUnsent(id: AttemptId): boolean;
  cancel(id: AttemptId): CancelDecision;
  /** Unknown ids get a tombstone, so that a frame still on its way can't start them. */
  query(id: AttemptId): QueryDecision;
  state(id: AttemptId): AttemptState | undefined;
  /** Number of attempts and tombstones held. */
  size(): number;
}

/** The entry's state of one attempt. */
export type SentState = 'unsent' | 'sent' | 'started' | 'closed';

/** What the entry learnt about an attempt. */
export type AttemptEvent =
  | { kind: 'send-failed' }
  | { kind: 'sent' }
  | { kind: 'started' }
  | { kind: 'progress' }
  | { kind: 'end' }
  | { kind: 'not-run' }
  | { kind: 'unknown' }
  /** The link ended; the same agent instance can still be asked. */
  | { kind: 'link-lost' }
  /** The agent's instance is gone for good: nobody can prove anything now. */
  | { kind: 'instance-gone' }
  /** The entry gives up waiting. */
  | { kind: 'gave-up' };

/** The entry's record of one attempt; says what may be told to the caller. */
export interface SentAttempt {
  readonly id: AttemptId;
  state(): SentState;
  /** The outcome once closed. */
  outcome(): Outcome | undefined;
  /**
   * Applies an event. `closed` carries the final outcome; `query` asks the same agent instance after
   * a reconnect; `late` means that the attempt was closed before: drop the frame and count it.
   */
  apply(event: AttemptEvent): AttemptStep;
}

/** What the entry must do after an event. */
export type AttemptStep =
  | { step: 'continue' }
  | { step: 'query' }
  | { step: 'late' }
  | { step: 'closed'; outcome: Outcome };
