/** Serves a request whose response is not a stream: the response is buffered before any of it is sent to the caller. */

import { readFullResponse } from './full-response.js';
import { createRetryLoop } from './retry-loop.js';
import type { RetryLoop } from './retry-loop.js';
import type { CallerRequest, ServingDeps } from './types.js';

/** Fraction of the remaining time after which a repeatable request is sent to another upstream. */
const ATTEMPT_TIME_SHARE = 0.4;

/** Serves one request; resolves when the response has been sent or the caller has disconnected. */
export const servePlain = (request: CallerRequest, deps: ServingDeps): Promise<void> => {
  const { route } = request;
  const mayRepeat = route.kind === 'safe';

  const attemptTimeoutMs = (loop: RetryLoop): number | undefined => {
    const isLast = !mayRepeat || loop.sentAttempts() + 1 >= route.maxAttempts;
    return isLast ? undefined : loop.remainingMs() * ATTEMPT_TIME_SHARE;
  };

  const retryLoop = createRetryLoop(
    request,
    { mayRepeat, attemptTimeoutMs, retryDelayMs: () => 0, watchAttempt: () => () => {} },
    deps,
  );
  return retryLoop.run(readFullResponse);
};
