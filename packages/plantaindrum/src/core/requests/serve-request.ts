/** One request, over as many attempts as its class, its deadline and the retry budget allow. */

import type { Clock, Metrics, Refusal } from '@plantaindrum/common';
import type { AttemptId } from '@plantaindrum/link';
import type { FailedAttempt, RetryPolicy } from '@plantaindrum/requests';
import type { AttemptTimes } from '../attempts/run-attempt.js';
import { runAttempt } from '../attempts/run-attempt.js';
import type { AttemptOutcome } from '../attempts/types.js';
import type { Answer } from '../callers/answer.js';
import type { Chosen } from '../routing/entry-router.js';
import type { EntryRequest, RequestEnd } from './types.js';
import { factsOf, workOf } from './work.js';

/** What serving requests needs. */
export interface ServeOptions {
  /** Chooses an upstream; those tried, by name, are left out. */
  choose: (request: EntryRequest, tried: ReadonlySet<string>) => Chosen | undefined;
  retries: RetryPolicy;
  nextId: () => AttemptId;
  times: AttemptTimes;
  clock: Clock;
  metrics: Metrics;
}

/** Tells of the caller's end; the returned function ends that. */
export type OnCallerGone = (fn: () => void) => () => void;

/** An answer that is not a stream may be silent for this many times its class's target. */
const PATIENCE_FACTOR = 3;

type Failed = Extract<AttemptOutcome, { reason: unknown }>;

const refusalOf = (failed: Failed): Refusal => ({
  reason: failed.reason,
  ...(failed.outcome === 'not-run' && { retryAfterMs: failed.retryAfterMs }),
});

/** Failures that speak against the upstream, whatever the request was. */
const UPSTREAM_FAILURES = ['upstream-refused', 'upstream-unreachable'];

const isUpstreamsFailure = (ended: AttemptOutcome): boolean =>
  'reason' in ended && UPSTREAM_FAILURES.includes(ended.reason);

/** Serves one request to its end; the answer or refusal has been written when it resolves. */
export const serveRequest = async (
  request: EntryRequest,
  answer: Answer,
  onCallerGone: OnCallerGone,
  options: ServeOptions,
): Promise<RequestEnd> => {
  const { choose, retries, nextId, times, clock, metrics } = options;
  const { latestAnswerMs } = request.class;
  const tried = new Set<string>();
  const patience = {
    ...times,
    silenceMs: Math.max(times.silenceMs, latestAnswerMs * PATIENCE_FACTOR),
  };
  // A key is claimed once for all upstreams: a second dispatch could only lose against the first.
  const mayNotRepeat = request.class.mayNotRepeat || request.idempotencyKey !== undefined;
  let attempts = 0;
  let mayHaveRun = false;

  const refuse = (refusal: Refusal): RequestEnd => {
    const outcome = mayHaveRun ? 'unknown' : 'not-run';
    const whole: Refusal = { ...refusal, outcome, data: factsOf(request) };
    answer.refuse(whole);
    return { outcome: 'refused', refusal: whole };
  };

  /** The target of a stream is its first token, so a resumed stream has its whole time again. */
  const deadline = (): number =>
    (answer.begun() ? clock.monotonic() : request.arrivedAt) + latestAnswerMs;

  const attempt = async ({ upstream, ticket }: Chosen): Promise<AttemptOutcome> => {
    tried.add(upstream.vm().name);
    attempts += 1;
    const budgetMs = Math.max(0, deadline() - clock.monotonic());
    try {
      const ended = await runAttempt({
        id: nextId(),
        upstream,
        work: workOf(request, budgetMs, answer.resumeAfter()),
        answer: answer.attempt(),
        onCallerGone,
        repeatable: !mayNotRepeat,
        ticket,
        times: patience,
        clock,
        metrics,
      });
      if (isUpstreamsFailure(ended)) ticket.failed();
      return ended;
    } finally {
      ticket.ended();
    }
  };

  /** Whether another attempt may be made; counted either way. */
  const mayRetry = (failed: Failed): boolean => {
    const resumeAfter = answer.resumeAfter();
    const decision = retries.decide({
      outcome: mayHaveRun ? 'unknown' : 'not-run',
      reason: failed.reason as FailedAttempt['reason'],
      mayNotRepeat,
      attempts,
      deadline: deadline(),
      answerBegun: answer.begun(),
      ...(resumeAfter !== undefined && { resumeAfter }),
    });
    if (decision.retry) metrics.count('retries', { reason: failed.reason });
    else metrics.count('retries_denied', { reason: decision.reason });
    return decision.retry;
  };

  let last: Refusal | undefined;

  /**
   * A link that broke under the dispatch says nothing against its upstream. Where no other is left,
   * the caller would be refused although the same upstream, linked again, could serve.
   */
  const chooseAgain = (): Chosen | undefined =>
    last?.reason === 'never-arrived' ? choose(request, new Set()) : undefined;

  retries.requested();
  for (;;) {
    const chosen = choose(request, tried) ?? chooseAgain();
    if (!chosen) return refuse(last ?? { reason: 'no-upstream' });
    const ended = await attempt(chosen);
    if (ended.outcome === 'answered' || ended.outcome === 'caller-gone') return ended;
    if (ended.outcome === 'unknown') mayHaveRun = true;
    last = refusalOf(ended);
    if (!mayRetry(ended)) return refuse(last);
  }
};
