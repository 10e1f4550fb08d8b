/** One request, over as many attempts as its class, its deadline and the retry budget allow. */

import type { Clock, Metrics, Refusal, RefusalReason } from '@plantaindrum/common';
import type { AttemptId } from '@plantaindrum/link';
import type { AttemptTimes } from '../attempts/run-attempt.js';
import { runAttempt } from '../attempts/run-attempt.js';
import type { AttemptOutcome } from '../attempts/types.js';
import type { Answer } from '../callers/answer.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { ChooseUpstream, EntryRequest, RequestEnd, RetryBudget } from './types.js';
import { factsOf, workOf } from './work.js';

/** What serving requests needs. */
export interface ServeOptions {
  choose: ChooseUpstream;
  budget: RetryBudget;
  nextId: () => AttemptId;
  times: AttemptTimes;
  clock: Clock;
  metrics: Metrics;
}

/** Tells of the caller's end; the returned function ends that. */
export type OnCallerGone = (fn: () => void) => () => void;

/** Reasons that another upstream would give as well, so that none is asked. */
const FINAL_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'cancelled',
  'claim-key-expired',
  'claim-key-reused',
  'claim-lost',
  'duplicate-in-progress',
  'duplicate-known',
  'deadline-passed',
]);

/** Serves one request to its end; the answer or refusal has been written when it resolves. */
export const serveRequest = async (
  request: EntryRequest,
  answer: Answer,
  onCallerGone: OnCallerGone,
  options: ServeOptions,
): Promise<RequestEnd> => {
  const { choose, budget, nextId, times, clock, metrics } = options;
  const tried = new Set<Upstream>();
  const deadline = request.arrivedAt + request.class.latestAnswerMs;
  // A key is claimed once for all upstreams: a second dispatch could only lose against the first.
  const repeatable = !request.class.mayNotRepeat && request.idempotencyKey === undefined;
  let mayHaveRun = false;

  const refuse = (refusal: Refusal): RequestEnd => {
    const outcome = mayHaveRun ? 'unknown' : 'not-run';
    const whole: Refusal = { ...refusal, outcome, data: factsOf(request) };
    answer.refuse(whole);
    return { outcome: 'refused', refusal: whole };
  };

  /** The target of a stream is its first token, so a resumed stream has its whole time again. */
  const timeLeft = (): number =>
    answer.begun() ? request.class.latestAnswerMs : deadline - clock.monotonic();

  /** Why no other attempt may be made; undefined when one may. */
  const finalReason = (reason: RefusalReason): string | undefined => {
    if (FINAL_REASONS.has(reason)) return 'final';
    if (mayHaveRun && !repeatable) return 'may-not-repeat';
    if (answer.begun() && answer.resumeAfter() === undefined) return 'not-resumable';
    if (timeLeft() <= 0) return 'deadline';
    return undefined;
  };

  const attempt = (upstream: Upstream): Promise<AttemptOutcome> =>
    runAttempt({
      id: nextId(),
      upstream,
      work: workOf(request, Math.max(0, timeLeft()), answer.resumeAfter()),
      answer: answer.attempt(),
      onCallerGone,
      times,
      clock,
      metrics,
    });

  /** Whether a retry may be sent now; counted either way. */
  const mayRetry = (last: Refusal): boolean => {
    if (!budget.take()) {
      metrics.count('retries_denied', { reason: 'budget' });
      return false;
    }
    metrics.count('retries', { reason: last.reason });
    return true;
  };

  budget.onRequest();
  let last: Refusal | undefined;
  for (;;) {
    const upstream = choose(request, tried);
    if (!upstream) return refuse(last ?? { reason: 'no-upstream' });
    if (last && !mayRetry(last)) return refuse(last);
    tried.add(upstream);
    const ended = await attempt(upstream);
    if (ended.outcome === 'answered' || ended.outcome === 'caller-gone') return ended;
    if (ended.outcome === 'unknown') mayHaveRun = true;
    last = {
      reason: ended.reason,
      ...(ended.outcome === 'not-run' && { retryAfterMs: ended.retryAfterMs }),
    };
    const final = finalReason(ended.reason);
    if (final) {
      metrics.count('retries_denied', { reason: final });
      return refuse(last);
    }
  }
};
