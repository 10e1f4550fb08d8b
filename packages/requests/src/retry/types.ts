import type { AgentReason } from '@plantaindrum/link';
import type { Outcome } from '../outcomes.js';

/** What is known when an attempt has failed. */
export interface FailedAttempt {
  outcome: Exclude<Outcome, 'answered'>;
  /** The agent's reason, or the entry's own. */
  reason: AgentReason | 'link-lost' | 'agent-gone' | 'send-failed' | 'no-first-byte';
  mayNotRepeat: boolean;
  /** Attempts made so far, this one included. */
  attempts: number;
  /** Monotonic time by which the answer (or first token) is due, in milliseconds. */
  deadline: number;
  /** Event id of the last token that went to the caller, when the answer can be resumed after it. */
  resumeAfter?: string;
  /** Whether any byte of the answer has gone to the caller. */
  answerBegun: boolean;
}

/** Why a failed attempt is not retried. */
export type NoRetryReason =
  | 'may-not-repeat'
  | 'answer-begun'
  | 'final-reason'
  | 'deadline-near'
  | 'attempts-spent'
  | 'budget-spent';

/** Whether to dispatch again. */
export type RetryDecision =
  { retry: true; resumeAfter?: string } | { retry: false; reason: NoRetryReason };

/** Decides on retries for one entry. */
export interface RetryPolicy {
  /** Every first dispatch earns a share of a retry. */
  requested(): void;
  /** Decides, and spends from the budget when the answer is yes. */
  decide(failed: FailedAttempt): RetryDecision;
}
