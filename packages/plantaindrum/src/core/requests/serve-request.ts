/** Serves one request with as many attempts as its class, deadline and the retry budget allow. */

import type { Clock, Metrics, Refusal } from '@plantaindrum/common';
import type { AttemptId } from '@plantaindrum/link';
import type { FailedAttempt, RetryPolicy } from '@plantaindrum/requests';
import type { AttemptTimeouts } from '../attempts/run-attempt.js';
import { runAttempt } from '../attempts/run-attempt.js';
import type { TargetActivity } from '../attempts/target-activity.js';
import type { AttemptOutcome } from '../attempts/types.js';
import type { CallerResponse } from '../callers/caller-response.js';
import type { SelectedUpstream } from '../routing/entry-router.js';
import { createDispatchPayload, refusalData } from './dispatch-payload.js';
import type { EntryRequest, RequestEnd } from './types.js';

/** Options for serving requests. */
export interface ServeOptions {
  /** Selects an upstream, leaving out those named in `triedUpstreams`. */
  selectUpstream: (
    request: EntryRequest,
    triedUpstreams: ReadonlySet<string>,
  ) => SelectedUpstream | undefined;
  retries: RetryPolicy;
  nextId: () => AttemptId;
  timeouts: AttemptTimeouts;
  activity: TargetActivity;
  clock: Clock;
  metrics: Metrics;
}

/** Calls `fn` when the caller disconnects; the returned function unsubscribes. */
export type OnCallerDisconnect = (fn: () => void) => () => void;

/**
 * A response that is not streamed may take this multiple of its class's target before it counts as
 * silent.
 */
const SILENCE_TARGET_FACTOR = 3;
/** Shortest time without progress after which an answer may be stalled, in ms: well above the time of a group's step. */
const MIN_STALL_MS = 900;
/** Fraction of the target after which an answer that has not begun may be stalled: another upstream needs the rest. */
const STALL_TARGET_SHARE = 0.4;

type FailedOutcome = Extract<AttemptOutcome, { reason: unknown }>;

const toRefusal = (failed: FailedOutcome): Refusal => ({
  reason: failed.reason,
  ...(failed.outcome === 'not-run' && { retryAfterMs: failed.retryAfterMs }),
});

/** Failures that routing counts against the upstream, whatever the request was. */
const UPSTREAM_FAILURES = ['upstream-refused', 'upstream-unreachable'];

const isUpstreamFailure = (ended: AttemptOutcome): boolean =>
  'reason' in ended && UPSTREAM_FAILURES.includes(ended.reason);

/** Serves one request; resolves when the response or refusal has been written. */
export const serveRequest = async (
  request: EntryRequest,
  response: CallerResponse,
  onCallerDisconnect: OnCallerDisconnect,
  options: ServeOptions,
): Promise<RequestEnd> => {
  const { selectUpstream, retries, nextId, timeouts, activity, clock, metrics } = options;
  const { latestAnswerMs } = request.class;
  const tried = new Set<string>();
  const attemptTimeouts = {
    ...timeouts,
    silenceMs: Math.max(timeouts.silenceMs, latestAnswerMs * SILENCE_TARGET_FACTOR),
  };
  // The claim of an idempotency key covers all upstreams, so it would reject a second dispatch.
  const mayNotRepeat = request.class.mayNotRepeat || request.idempotencyKey !== undefined;
  let attemptCount = 0;
  let mayHaveRun = false;

  const refuse = (refusal: Refusal): RequestEnd => {
    const outcome = mayHaveRun ? 'unknown' : 'not-run';
    const fullRefusal: Refusal = { ...refusal, outcome, data: refusalData(request) };
    response.refuse(fullRefusal);
    return { outcome: 'refused', refusal: fullRefusal };
  };

  /** The target covers the first token only, so a resumed stream gets the full time again. */
  const deadline = (): number =>
    (response.hasStarted() ? clock.monotonic() : request.arrivedAt) + latestAnswerMs;

  const stallMs = (): number =>
    Math.max(MIN_STALL_MS, latestAnswerMs * (response.hasStarted() ? 1 : STALL_TARGET_SHARE));

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
        progress: {
          stallMs,
          record: () => activity.record(request.target),
          quietMs: () => activity.quietMs(request.target),
        },
        clock,
        metrics,
      });
      if (isUpstreamFailure(outcome)) ticket.failed();
      return outcome;
    } finally {
      ticket.ended();
    }
  };

  /** Decides whether to retry, and counts the decision. */
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
   * A dispatch that was lost with its link is no failure of the upstream. When no other upstream is
   * left, those already tried are selected again, since they may have reconnected.
   */
  const selectAfterLostDispatch = (): SelectedUpstream | undefined =>
    lastRefusal?.reason === 'never-arrived' ? selectUpstream(request, new Set()) : undefined;

  retries.recordRequest();
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
