/** Waiting, for one request, while the group behind its service forms anew. */

import { urgencyOf } from './attempt.js';
import type { CallerRequest, ServingDeps } from './types.js';

/**
 * Time for which a request may wait, from its arrival or from the end of its last attempt in the middle
 * of a stream, in ms. Callers leave a stream that shows nothing for two seconds, and the first passes
 * of a group are long.
 */
const LONGEST_WAIT_MS = 1_200;

/** Resolves when the request may be sent; false when it is not to be sent any more. */
export const awaitOpen = async (
  request: CallerRequest,
  from: number,
  deps: ServingDeps,
): Promise<boolean> => {
  const { reopening, directory } = deps;
  const { service } = request;
  if (!reopening.isClosed(service)) return true;
  const outcome = await reopening.wait(service, {
    isLastTry: request.isReturn || request.fields.lastEventId !== undefined,
    until: Math.min(from + LONGEST_WAIT_MS, request.deadlineAt),
    urgency: urgencyOf(request),
    // One prompt for each engine, over all entries, is read within one pass. More of them at once, with
    // the uneven map that a group forms with, made passes of 200 ms for three seconds.
    room: Math.ceil(directory.usable(service).length / deps.entries()),
  });
  return outcome === 'open' || outcome === 'ask';
};
