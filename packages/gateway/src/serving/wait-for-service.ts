/** Holds a request back while its service is unavailable because its group is re-forming. */

import { urgencyOf } from './attempt.js';
import type { CallerRequest, ServingDeps } from './types.js';

/**
 * Longest wait of a request, in ms, from its arrival, or from the end of the last attempt of a stream that has begun.
 * Callers give up a stream without events after two seconds, and the first passes of a new group are long.
 */
const MAX_WAIT_MS = 1_200;

/** Resolves to true when the request may be sent, and to false when it must be refused. */
export const waitForService = async (
  request: CallerRequest,
  waitStartedAt: number,
  deps: ServingDeps,
): Promise<boolean> => {
  const { outages, directory } = deps;
  const { service } = request;
  if (!outages.isUnavailable(service)) return true;
  const outcome = await outages.wait(service, {
    isLastAttempt: request.isReturn || request.fields.lastEventId !== undefined,
    until: Math.min(waitStartedAt + MAX_WAIT_MS, request.deadlineAt),
    urgency: urgencyOf(request),
    // One prompt per engine, over all entries, is processed within one pass. More at once, with the unbalanced
    // expert map that a group starts with, caused passes of 200 ms for three seconds.
    maxWaiting: Math.ceil(directory.usable(service).length / deps.entries()),
  });
  return outcome === 'open' || outcome === 'ask';
};
