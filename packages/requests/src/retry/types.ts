import type { AgentReason } from '@plantaindrum/link';
import type { Outcome } from '../outcomes.js';

/** Facts about a failed attempt. */
export interface FailedAttempt {
  outcome: Exclude<Outcome, 'answered'>;
  /** Reason from the agent or, when it sent none, from the entry. */
  reason: AgentReason | 'link-lost' | 'agent-gone' | 'send-failed' | 'no-first-byte';
  mayNotRepeat: boolean;
  /** Number of attempts so far, including this one. */
  attempts: number;
  /** Monotonic time by which the answer (or first token) is due, in milliseconds. */
  deadline: number;
  /** Event id of the last token sent to the caller, if the answer can be resumed after it. */
  resumeAfter?: string;
  /** Whether any byte of the answer has been sent to the caller. */
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

/** Whether to dispatch the request again. */
export type RetryDecision =
  { retry: true; resumeAfter?: string } | { retry: false; reason: NoRetryReason };

/** Decides on retries for one entry. */
export interface RetryPolicy {
  /** Records the first dispatch of a request, which adds to the retry budget. */
  recordRequest(): void;
  /** Decides whether to retry; a retry is charged to the budget. */
  decide(failed: FailedAttempt): RetryDecision;
}
