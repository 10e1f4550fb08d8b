/** One request, over as many attempts as its class, its deadline and the retry budget allow. */

import type { Clock, Metrics, Refusal } from '@plantaindrum/common';
import type { AttemptId } from '@plantaindrum/link';
import type { FailedAttempt, RetryPolicy } from '@plantaindrum/requests';
import type { AttemptTimeouts } from '../attempts/run-attempt.js';
import { runAttempt } from '../attempts/run-attempt.js';
import type { AttemptOutcome } from '../attempts/types.js';
import type { CallerResponse } from '../callers/caller-response.js';
import type { SelectedUpstream } from '../routing/entry-router.js';
import type { EntryRequest, RequestEnd } from './types.js';
import { refusalData, createDispatchPayload } from './dispatch-payload.js';

/** What serving requests needs. */
export interface ServeOptions {
  /** Chooses an upstream; those tried, by name, are left out. */
  selectUpstream: (
    request: EntryRequest,
    triedUpstreams: ReadonlySet<string>,
  ) => SelectedUpstream | undefined;
  retries: RetryPolicy;
  nextId: () => AttemptId;
  timeouts: AttemptTimeouts;
  clock: Clock;
  metrics: Metrics;
}

/** Tells of the caller's end; the returned function ends that. */
export type OnCallerDisconnect = (fn: () => void) => () => void;

/** An answer that is not a stream may be silent for this many times its class's target. */
const SILENCE_TARGET_FACTOR = 3;

type FailedOutcome = Extract<AttemptOutcome, { reason: unknown }>;

const toRefusal = (failed: FailedOutcome): Refusal => ({
  reason: failed.reason,
  ...(failed.outcome === 'not-run' && { retryAfterMs: failed.retryAfterMs }),
});

/** Failures that speak against the upstream, whatever the request was. */
const UPSTREAM_FAILURES = ['upstream-refused', 'upstream-unreachable'];

const isUpstreamFailure = (ended: AttemptOutcome): boolean =>
  'reason' in ended && UPSTREAM_FAILURES.includes(ended.reason);

/** Serves one request to its end; the answer or refusal has been written when it resolves. */
export const serveRequest = async (
  request: EntryRequest,
  response: CallerResponse,
  onCallerDisconnect: OnCallerDisconnect,
  options: ServeOptions,
): Promise<RequestEnd> => {
  const { selectUpstream, retries, nextId, timeouts, clock, metrics } = options;
  const { latestAnswerMs } = request.class;
  const tried = new Set<string>();
  const attemptTimeouts = {
    ...timeouts,
    silenceMs: Math.max(timeouts.silenceMs, latestAnswerMs * SILENCE_TARGET_FACTOR),
  };
  // A key is claimed once for all upstreams: a second dispatch could only lose against the first.
  const mayNotRepeat = request.class.mayNotRepeat || request.idempotencyKey !== undefined;
  let attemptCount = 0;
  let mayHaveRun = false;

  const refuse = (refusal: Refusal): RequestEnd => {
    const outcome = mayHaveRun ? 'unknown' : 'not-run';
    const fullRefusal: Refusal = { ...refusal, outcome, data: refusalData(request) };
    response.refuse(fullRefusal);
    return { outcome: 'refused', refusal: fullRefusal };
  };

  /** The target of a stream is its first token, so a resumed stream has its whole time again. */
  const deadline = (): number =>
    (response.hasStarted() ? clock.monotonic() : request.arrivedAt) + latestAnswerMs;

  const makeAttempt = async ({ upstream, ticket }: SelectedUpstream): Promise<AttemptOutcome> => {
    tried.add(upstream.vm().name);
    attemptCount += 1;
    const budgetMs = Math.max(0, deadline() - clock.monotonic());
    try {
      const outcome = await runAttempt({
        id: nextId(),
        upstream,
        payload: createDispatchPayload(request, budgetMs, response.resumeAfter()),
        response: response.createSink(),
        onCallerDisconnect,
        mayRunElsewhere: !mayNotRepeat,
        ticket,
        timeouts: attemptTimeouts,
        clock,
        metrics,
      });
      if (isUpstreamFailure(outcome)) ticket.failed();
      return outcome;
    } finally {
      ticket.ended();
    }
  };

  /** Whether another attempt may be made; counted either way. */
  const mayRetry = (failed: FailedOutcome): boolean => {
    const resumeAfter = response.resumeAfter();
    const decision = retries.decide({
      outcome: mayHaveRun ? 'unknown' : 'not-run',
      reason: failed.reason as FailedAttempt['reason'],
      mayNotRepeat,
      attempts: attemptCount,
      deadline: deadline(),
      answerBegun: response.hasStarted(),
      ...(resumeAfter !== undefined && { resumeAfter }),
    });
    if (decision.retry) metrics.count('retries', { reason: failed.reason });
    else metrics.count('retries_denied', { reason: decision.reason });
    return decision.retry;
  };

  let lastRefusal: Refusal | undefined;

  /**
   * A link that broke under the dispatch says nothing against its upstream. Where no other is left,
   * the caller would be refused although the same upstream, linked again, could serve.
   */
  const selectAfterLostDispatch = (): SelectedUpstream | undefined =>
    lastRefusal?.reason === 'never-arrived' ? selectUpstream(request, new Set()) : undefined;

  retries.requested();
  for (;;) {
    const selected = selectUpstream(request, tried) ?? selectAfterLostDispatch();
    if (!selected) return refuse(lastRefusal ?? { reason: 'no-upstream' });
    const outcome = await makeAttempt(selected);
    if (outcome.outcome === 'answered' || outcome.outcome === 'caller-gone') return outcome;
    if (outcome.outcome === 'unknown') mayHaveRun = true;
    lastRefusal = toRefusal(outcome);
    if (!mayRetry(outcome)) return refuse(lastRefusal);
  }
};
