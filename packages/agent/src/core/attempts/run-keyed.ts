/** Runs requests with an idempotency key, each at most once over all agents. */

import { createHash } from 'node:crypto';
import type { Clock } from '@plantaindrum/common';
import type { AgentReason, Dispatch, IdempotencyKey } from '@plantaindrum/link';
import type { ClaimId, ClaimOutcome, Claims, ClaimVerdict } from '@plantaindrum/requests';
import type { AttemptOutcome } from './answer.js';
import { createAnswerCopy } from './answer-copy.js';
import type { Attempt } from './attempt.js';
import type { AnswerObserver } from './run-attempt.js';

/** Minimum time budget of a claim, in milliseconds. */
const MIN_CLAIM_BUDGET_MS = 100;
/** Marks an answer that is replayed from an earlier request with the same key. */
const REPLAY_HEADERS = { 'x-plantaindrum-replayed': 'true' };

/** Options of `createKeyedRunner`. */
export interface KeyedRunnerOptions {
  claims: Claims;
  /** Runs the request at the upstream. */
  run: (
    attempt: Attempt,
    dispatch: Dispatch,
    tryStart: () => boolean,
    observe: AnswerObserver,
  ) => Promise<AttemptOutcome>;
  clock: Clock;
}

/** Method and path are part of the hash: the same body at another path is a different request. */
const hashCall = ({ method, path }: Dispatch, bodyHash: string): string =>
  createHash('sha256').update(`${method}\n${path}\n${bodyHash}`).digest('hex');

const notRun = (reason: AgentReason, retryAfterMs: number): AttemptOutcome => ({
  outcome: 'not-run',
  reason,
  retryAfterMs,
});

/**
 * Outcome of a repeat while the first request with its key is running, has run or may have run. After
 * "not run" the caller could send the request under another key, and it would run twice.
 */
const unknownOutcome = (reason: AgentReason, tryStart: () => boolean): AttemptOutcome =>
  tryStart() ? { outcome: 'unknown', reason } : notRun('cancelled', 0);

/** Outcome of a request whose claim was refused. */
const refusalOutcome = (
  verdict: Exclude<ClaimVerdict, { verdict: 'first' | 'known' | 'held' }>,
  tryStart: () => boolean,
): AttemptOutcome => {
  switch (verdict.verdict) {
    case 'key-reused':
      return notRun('claim-key-reused', 0);
    case 'key-expired':
      return unknownOutcome('claim-key-expired', tryStart);
    case 'log-down':
      return notRun('claim-log-down', verdict.retryAfterMs);
    default:
      return notRun('claim-not-confirmed', verdict.retryAfterMs);
  }
};

/** Sends the answer of the earlier request with the same key, if its body was stored. */
const replay = (
  attempt: Attempt,
  claimOutcome: ClaimOutcome,
  tryStart: () => boolean,
): AttemptOutcome => {
  if (claimOutcome.body === undefined) return unknownOutcome('duplicate-known', tryStart);
  if (!tryStart()) return notRun('cancelled', 0);
  const headers: Record<string, string> = { ...REPLAY_HEADERS };
  if (claimOutcome.contentType !== undefined) headers['content-type'] = claimOutcome.contentType;
  attempt.answer.head(claimOutcome.status, headers);
  const body = Buffer.from(claimOutcome.body, 'base64');
  if (body.length > 0) void attempt.answer.write(body);
  return { outcome: 'answered' };
};

const closeClaim = async (
  claims: Claims,
  claim: ClaimId,
  { outcome }: AttemptOutcome,
  answer: ClaimOutcome,
): Promise<void> => {
  // The answer ends only after the log has its outcome, which takes a few ms: a caller may repeat the request elsewhere
  // as soon as it has the full answer, and until the log has the outcome the repeat ends as "unknown".
  if (outcome === 'answered') await claims.finish(claim, answer);
  // Awaited as well: the entry may try another upstream, whose claim would find the key still held.
  else if (outcome === 'not-run') await claims.release(claim);
  // It is unknown whether the request ran: the key stays claimed, so that it never runs again.
  else claims.abandon(claim);
};

/** Creates the runner; it claims the key when the request leaves the queue, not while it waits. */
export const createKeyedRunner = (options: KeyedRunnerOptions) => {
  const { claims, clock } = options;

  const claimKey = (attempt: Attempt, dispatch: Dispatch, { key, bodyHash }: IdempotencyKey) => {
    const waitedMs = clock.monotonic() - attempt.arrivedAt;
    const budgetMs = Math.max(MIN_CLAIM_BUDGET_MS, dispatch.budgetMs - waitedMs);
    const callHash = hashCall(dispatch, bodyHash);
    return claims.claim({ organisation: dispatch.organisation, key, bodyHash: callHash, budgetMs });
  };

  return async (
    attempt: Attempt,
    dispatch: Dispatch,
    key: IdempotencyKey,
    tryStart: () => boolean,
  ): Promise<AttemptOutcome> => {
    const verdict = await claimKey(attempt, dispatch, key);
    if (verdict.verdict === 'known') return replay(attempt, verdict.outcome, tryStart);
    if (verdict.verdict === 'held') {
      return unknownOutcome(verdict.runningHere ? 'duplicate-in-progress' : 'claim-lost', tryStart);
    }
    if (verdict.verdict !== 'first') return refusalOutcome(verdict, tryStart);
    const copy = createAnswerCopy();
    const outcome = await options.run(attempt, dispatch, tryStart, copy);
    await closeClaim(claims, verdict.claim, outcome, copy.outcome());
    return outcome;
  };
};
