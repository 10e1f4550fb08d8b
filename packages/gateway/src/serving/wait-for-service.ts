/** Holds a request back while its service is unavailable because its groups are re-forming. */

import { sleep } from '@plantaindrum/common';
import { urgencyOf } from './attempt.js';
import type { CallerRequest, ServiceWait, ServingDeps } from './types.js';

/** What is known of the request's earlier attempts. */
export interface EarlierAttempts {
  /** One was sent to an upstream. */
  wasSent: boolean;
  /** One ran, or may have run. */
  hasRun: boolean;
}

/**
 * Longest wait of a request, in ms, from its arrival, or from the end of the last attempt of a stream that has begun.
 * Callers give up a stream without events after two seconds, and the first passes of a new group are long.
 */
const MAX_WAIT_MS = 1_200;
/** The same where the service has several rank groups: the wait ends in time for a first event within two seconds. */
const MAX_GROUP_WAIT_MS = 1_600;
/** The same for a caller that returns: refused once more it is lost, so it rather risks a late first event. */
const MAX_RETURN_WAIT_MS = 1_800;
/** Longest wait for the first upstream in the list, in ms: servers are listed 0.1 to 0.4 s after the entries' start. */
const MAX_LIST_WAIT_MS = 500;
const LIST_CHECK_INTERVAL_MS = 10;
/** Time that a first event takes at least, in ms: a pass of a group. */
const FIRST_EVENT_MS = 150;
/** Time before its deadline after which a request isn't sent, in ms: its response would come too late. */
const MIN_SERVING_MS = 200;

/** Whether the service may have several rank groups; while none of its upstreams is listed, its groups are unknown. */
const mayHaveGroups = (
  { service, routeTable }: CallerRequest,
  { groups }: ServingDeps,
): boolean => {
  const routes = routeTable.intent.routes.filter(
    ({ kind, services }) => kind === 'stream' && services.some((each) => each.service === service),
  );
  return groups.hasSeveral() || new Set(routes.map(({ priority }) => priority)).size > 1;
};

/** Whether a request needn't wait: its caller has disconnected, or this entry exits before it can be served. */
const isWithdrawn = (
  request: CallerRequest,
  { hasRun }: EarlierAttempts,
  { lifecycle }: ServingDeps,
): boolean =>
  request.res.destroyed ||
  lifecycle.phase() === 'exiting' ||
  (!hasRun && !lifecycle.canServe(request));

/** Waits until an upstream of the service is listed, if this entry has just started. */
const waitForList = async (
  request: CallerRequest,
  attempts: EarlierAttempts,
  deps: ServingDeps,
): Promise<void> => {
  const { clock, directory } = deps;
  const until = Math.min(request.arrivedAt + MAX_LIST_WAIT_MS, request.deadlineAt);
  const isMissing = (): boolean =>
    deps.isStarting() && directory.unavailableReason(request.service) === 'no-upstream';
  if (!isMissing() || !mayHaveGroups(request, deps)) return;
  while (isMissing() && clock.monotonic() < until && !isWithdrawn(request, attempts, deps)) {
    await sleep(clock, LIST_CHECK_INTERVAL_MS);
  }
};

/** Waits until a rank group of the service is open. */
const waitForGroup = async (
  request: CallerRequest,
  waitStartedAt: number,
  attempts: EarlierAttempts,
  deps: ServingDeps,
): Promise<ServiceWait> => {
  const { wasSent, hasRun } = attempts;
  const { service, deadlineAt, fields } = request;
  // A request that may have run can't be refused as one that has not, so its caller won't return either.
  const isLastAttempt = request.isReturn || fields.lastEventId !== undefined || hasRun;
  const maxWaitMs = isLastAttempt ? MAX_RETURN_WAIT_MS : MAX_GROUP_WAIT_MS;
  const { targetMs, targetPauseMs = Infinity } = request.route;
  const outcome = await deps.takeUp.wait(service, {
    // A stream that has begun has missed its target for the pause.
    onTimeUntil: hasRun ? -Infinity : request.arrivedAt + targetMs - FIRST_EVENT_MS,
    targetPauseMs,
    until: Math.min(waitStartedAt + maxWaitMs, deadlineAt - MIN_SERVING_MS),
    deadlineAt,
    urgency: urgencyOf(request),
    isReturn: isLastAttempt,
    wasSent,
    isGone: () =>
      isWithdrawn(request, attempts, deps) ||
      deps.directory.excludedReason(service) === 'evacuated',
  });
  if (outcome.outcome !== 'refused') return outcome;
  const { groups } = deps;
  const isOpen = groups.groupsOf(service).some(({ state }) => state.condition() === 'open');
  // An open group refuses those that it could only take up at the expense of the streams that it has.
  return { ...outcome, reason: isOpen ? 'pace-too-slow' : 'group-closed' };
};

/** Resolves when the request may be sent, or must be refused. */
export const waitForService = async (
  request: CallerRequest,
  waitStartedAt: number,
  deps: ServingDeps,
  attempts: EarlierAttempts = { wasSent: false, hasRun: false },
): Promise<ServiceWait> => {
  const { outages, directory, groups } = deps;
  const { service } = request;
  await waitForList(request, attempts, deps);
  if (groups.groupsOf(service).length > 0) {
    return waitForGroup(request, waitStartedAt, attempts, deps);
  }
  if (!outages.isUnavailable(service)) return { outcome: 'proceed' };
  const outcome = await outages.wait(service, {
    isLastAttempt: request.isReturn || request.fields.lastEventId !== undefined,
    until: Math.min(waitStartedAt + MAX_WAIT_MS, request.deadlineAt),
    isGone: () => isWithdrawn(request, attempts, deps),
    urgency: urgencyOf(request),
    // One prompt per engine, over all entries, is processed within one pass. More at once, with the unbalanced
    // expert map that a group starts with, caused passes of 200 ms for three seconds.
    maxWaiting: Math.ceil(directory.usable(service).length / deps.entries()),
  });
  return outcome === 'open' || outcome === 'ask'
    ? { outcome: 'proceed' }
    : { outcome: 'refused', reason: 'upstreams-refusing' };
};
