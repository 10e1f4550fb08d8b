/** Runs the attempts of one request: whether to retry after each of them, and how the request ends. */

import { sleep } from '@plantaindrum/common';
import type { RankGroup } from '../groups/group-directory.js';
import { recordGroupFailure } from '../groups/attempt-evidence.js';
import type { Upstream } from '../upstreams/upstream.js';
import { startAttempt } from './attempt.js';
import type { Attempt } from './attempt.js';
import type { AttemptOutcome, HandleResponse } from './full-response.js';
import { onCallerDisconnected } from './caller-disconnected.js';
import { createRequestCompletion } from './request-completion.js';
import type { AttemptProgress } from './request-completion.js';
import type { CallerRequest, RefusalReason, ServiceWait, ServingDeps } from './types.js';
import { waitForService } from './wait-for-service.js';

/**
 * Aborts the current attempt so that the request is sent to another upstream; returns false, without effect,
 * when no further attempt is allowed or no faster upstream is available.
 */
export type TryMove = () => boolean;

/** The retry loop of one request. */
export interface RetryLoop {
  /** Id of the last forwarded event; the next attempt resumes after it. */
  resumeAfter: number | undefined;
  /** Makes attempts until a response is sent, no further attempt is allowed, or the caller disconnects. */
  run(handleResponse: HandleResponse): Promise<void>;
  /** Time until the request's deadline, in milliseconds. */
  remainingMs(): number;
  /** Number of attempts that were sent to an upstream. */
  sentAttempts(): number;
}

/** Options of `createRetryLoop`, by kind of request. */
export interface RetryLoopOptions {
  /** Whether a request that may have run can be sent again. */
  mayRepeat: boolean;
  /** Timeout of the next attempt, in milliseconds; undefined: only the request's deadline applies. */
  attemptTimeoutMs: (loop: RetryLoop) => number | undefined;
  /** Delay before a retry, in milliseconds. */
  retryDelayMs: () => number;
  /** Starts to watch an attempt; the returned function stops watching. */
  watchAttempt: (attempt: Attempt, sentAt: number, tryMove: TryMove) => () => void;
}

/** Maximum number of a request's attempts that are known not to have run, in addition to those that ran. */
const MAX_NOT_RUN = 3;

const isUpstreamFault = (outcome: AttemptOutcome): boolean =>
  outcome.outcome === 'unknown' || (outcome.outcome === 'whole' && outcome.status >= 500);

/** Creates the retry loop of one request. */
export const createRetryLoop = (
  request: CallerRequest,
  options: RetryLoopOptions,
  deps: ServingDeps,
): RetryLoop => {
  const { route, res, service } = request;
  const { clock, lifecycle, directory, budget, outages, groups, quarantine, metrics, log } = deps;
  const { mayRepeat } = options;
  const tried = new Set<string>();
  let current: Attempt | undefined;
  let isDisconnected = false;
  /** Why the request is ended without waiting for its attempt. */
  let cutOffBy: 'deadline' | 'stopping' | undefined;
  let isMoving = false;
  let probes = 0;
  /** The rank group that refused the last attempt. */
  let refusingGroup: RankGroup | undefined;
  /** Whether the next attempt is a retry that the budget has not been charged for yet. */
  let isChargeDue = false;
  let lastEndedAt = request.arrivedAt;
  const progress: AttemptProgress = {
    runs: 0,
    notRuns: 0,
    unsent: 0,
    lastWhy: '',
    failedResponse: undefined,
  };
  const { recordAnswered, sendResponse, endWithFailure, elapsedMs } = createRequestCompletion(
    request,
    progress,
    deps,
  );

  const tryMove: TryMove = () => {
    const isLast = progress.runs + 1 >= route.maxAttempts;
    if (!current || !mayRepeat || isMoving || isDisconnected || cutOffBy || isLast) return false;
    const next = directory.select(service, tried);
    if (!next || directory.isStraggler(next) || !budget.take(service)) return false;
    isMoving = true;
    current.abort();
    return true;
  };

  /** Records what the end of an attempt shows about the availability of the service. */
  const updateAvailability = (hasAnswered: boolean, upstream: Upstream): void => {
    if (groups.groupOf(upstream)) return;
    if (hasAnswered) outages.recordAnswer(service);
    else if (!upstream.isRefusing()) outages.recordInconclusive(service);
    else if (outages.isUnavailable(service) || directory.isRefusing(service)) {
      outages.recordRefusal(service);
    }
  };

  const attemptAt = async (
    loop: RetryLoop,
    upstream: Upstream,
    handleResponse: HandleResponse,
  ): Promise<AttemptOutcome> => {
    tried.add(upstream.record.instance);
    const attempt = startAttempt(request, upstream, loop.resumeAfter, deps);
    current = attempt;
    const sentAt = clock.monotonic();
    const timeoutMs = options.attemptTimeoutMs(loop);
    const stopTimer =
      timeoutMs === undefined ? () => {} : clock.after(timeoutMs, () => attempt.abort());
    const stopWatch = options.watchAttempt(attempt, sentAt, tryMove);
    const head = await attempt.head;
    if (head.outcome === 'answered') groups.recordAnswer(upstream, sentAt);
    const outcome = head.outcome === 'answered' ? await handleResponse(attempt, head) : head;
    stopTimer();
    stopWatch();
    if (outcome.outcome === 'whole') attempt.run.complete(outcome.status);
    if (outcome.outcome === 'streamed') attempt.run.complete();
    const isAbandoned = isDisconnected || cutOffBy !== undefined || isMoving;
    const hasFailed = !isAbandoned && !attempt.run.hasSurvived();
    attempt.end();
    // A suspect request is retried only once it is known whether it has crashed this upstream as well.
    const exitCheck = hasFailed ? deps.checkExit(upstream.record) : undefined;
    if (quarantine.isSuspect(request.fingerprint)) await exitCheck;
    lastEndedAt = clock.monotonic();
    if (isAbandoned) groups.recordInconclusive(upstream);
    refusingGroup = isAbandoned
      ? undefined
      : recordGroupFailure(groups, upstream, outcome, lastEndedAt - sentAt);
    updateAvailability(head.outcome === 'answered', upstream);
    if (head.outcome === 'answered' && !isAbandoned) {
      if (outcome.outcome === 'unknown') upstream.recordMayHaveEnded();
      if (isUpstreamFault(outcome)) upstream.recordFailure('failed');
      else upstream.recordSuccess();
    }
    log.event('attempt', {
      id: request.id,
      upstream: upstream.record.instance,
      load: upstream.load(),
      rateLimit: upstream.rate.perSecond(),
      outcome: outcome.outcome,
      why: 'why' in outcome ? outcome.why : undefined,
      status: outcome.outcome === 'whole' ? outcome.status : undefined,
      resumeAfter: loop.resumeAfter,
      ms: elapsedMs(),
    });
    return outcome;
  };

  const recordOutcome = (outcome: AttemptOutcome): void => {
    if (outcome.outcome === 'not-run') {
      progress.notRuns += 1;
      const isClosed = refusingGroup && refusingGroup.state.condition() !== 'open';
      if (outages.isUnavailable(service) || isClosed) probes += 1;
      if (!outcome.wasSent) progress.unsent += 1;
    } else {
      progress.runs += 1;
    }
    if (outcome.outcome === 'whole') progress.failedResponse = outcome;
    if ('why' in outcome) progress.lastWhy = outcome.why;
  };

  /** Returns why no further attempt is made; undefined when a retry is allowed. */
  const stopReason = (): RefusalReason | undefined => {
    if (cutOffBy) return cutOffBy;
    if (progress.runs === 0 && !lifecycle.canServe(request)) return 'stopping';
    if (progress.runs > 0 && !mayRepeat) return 'upstream-failed';
    const refusal = quarantine.refusal(request.fingerprint, request.sharedParts);
    if (refusal) return refusal.reason;
    const sent = progress.runs + progress.notRuns - progress.unsent;
    const isSpent = mayRepeat ? progress.runs >= route.maxAttempts : sent >= route.maxAttempts;
    // Probes of an unavailable service are limited by the wait time and the retry budget instead.
    if (isSpent || progress.notRuns - probes > MAX_NOT_RUN) return 'attempts-spent';
    // The retry budget was already charged for a move when its attempt was aborted.
    const isCharged = sent > 0 && !isMoving;
    // A request that waits for its group and is refused in the end has not been sent once more.
    isChargeDue = isCharged && groups.groupsOf(service).length > 0;
    if (isCharged && !isChargeDue && !budget.take(service)) return 'retry-budget-spent';
    return undefined;
  };

  /** Selects the next upstream, in another group than the one that refused the last attempt if there is one. */
  const selectNext = (isProbe: boolean | undefined): Upstream | undefined => {
    const isRefusing = (upstream: Upstream): boolean => groups.groupOf(upstream) === refusingGroup;
    const refusing = refusingGroup ? directory.usable(service).filter(isRefusing) : [];
    const avoided = new Set([...tried, ...refusing.map(({ record }) => record.instance)]);
    const other = refusing.length > 0 ? directory.select(service, avoided, false) : undefined;
    const untried = other ?? directory.select(service, tried, isProbe);
    return untried ?? (mayRepeat ? directory.selectAgain(service) : undefined);
  };

  const isFinal = (outcome: AttemptOutcome): boolean =>
    outcome.outcome === 'streamed' ||
    (outcome.outcome === 'whole' && (outcome.status < 500 || !mayRepeat) && !res.headersSent);

  const logCallerDisconnected = (): void => {
    const { runs, notRuns } = progress;
    log.event('caller-gone', { id: request.id, runs, notRuns, ms: elapsedMs() });
  };

  /** Ends the request after the caller disconnected or it was cut off between two attempts. */
  const endBetweenAttempts = (): void => {
    if (cutOffBy && !isDisconnected) endWithFailure(cutOffBy);
    else logCallerDisconnected();
  };

  /**
   * Waits until the service is available. Before the first attempt the request has already waited, ahead of admission.
   */
  const waitUntilAvailable = async (loop: RetryLoop): Promise<ServiceWait> => {
    if (progress.runs + progress.notRuns === 0) return { outcome: 'proceed' };
    const waitStartedAt = res.headersSent ? lastEndedAt : request.arrivedAt;
    const attempts = { wasSent: loop.sentAttempts() > 0, hasRun: progress.runs > 0 };
    return waitForService(request, waitStartedAt, deps, attempts);
  };

  const runAll = async (loop: RetryLoop, handleResponse: HandleResponse): Promise<void> => {
    for (;;) {
      const held = await waitUntilAvailable(loop);
      if (isDisconnected || cutOffBy) {
        endBetweenAttempts();
        return;
      }
      if (progress.runs === 0 && !lifecycle.canServe(request)) {
        endWithFailure('stopping');
        return;
      }
      if (held.outcome === 'refused') {
        endWithFailure(held.reason, held.retryAfterMs);
        return;
      }
      const upstream = selectNext(held.outcome === 'probe' || undefined);
      if (!upstream) {
        endWithFailure(directory.unavailableReason(service, tried));
        return;
      }
      if (isChargeDue && !budget.take(service)) {
        endWithFailure('retry-budget-spent');
        return;
      }
      const outcome = await attemptAt(loop, upstream, handleResponse);
      if (isDisconnected) {
        logCallerDisconnected();
        return;
      }
      if (isFinal(outcome)) {
        if (outcome.outcome === 'whole') sendResponse(outcome);
        else {
          res.end();
          recordAnswered(undefined);
        }
        return;
      }
      recordOutcome(outcome);
      const reason = stopReason();
      if (reason) {
        endWithFailure(reason);
        return;
      }
      const cause = isMoving ? 'moved' : outcome.outcome;
      metrics.count('gateway_retries', { reason: cause });
      log.event('retry', { id: request.id, service, reason: cause, ...budget.usage(service) });
      await sleep(clock, isMoving ? 0 : options.retryDelayMs());
      isMoving = false;
    }
  };

  const loop: RetryLoop = {
    resumeAfter: request.fields.lastEventId,
    remainingMs: () => request.deadlineAt - clock.monotonic(),
    sentAttempts: () => progress.runs + progress.notRuns - progress.unsent,
    run: async (handleResponse) => {
      onCallerDisconnected(res, () => {
        isDisconnected = true;
        current?.abort();
      });
      const cutOff = (reason: 'deadline' | 'stopping'): void => {
        cutOffBy ??= reason;
        current?.abort();
      };
      const stopDeadline = clock.after(loop.remainingMs(), () => cutOff('deadline'));
      const stopListening = lifecycle.onChange((phase) => {
        if (phase === 'exiting') cutOff('stopping');
      });
      await runAll(loop, handleResponse);
      stopDeadline();
      stopListening();
    },
  };
  return loop;
};
