/** Ends a request with an upstream's response, or with a refusal by the entry. */

import { mayHaveRun, notRun, refuse } from './refuse.js';
import { hasField, sendHead } from './response-headers.js';
import type { CallerRequest, RefusalReason, ServingDeps } from './types.js';

/** An upstream's response that has been read completely. */
export interface FullResponse {
  outcome: 'whole';
  status: number;
  headers: string[];
  body: Uint8Array;
}

/** Counts and results of a request's attempts so far. */
export interface AttemptProgress {
  /** Number of attempts that ran or may have run. */
  runs: number;
  /** Number of attempts that are known not to have run. */
  notRuns: number;
  /** Number of attempts among `notRuns` that were never sent. */
  unsent: number;
  /** Why the last attempt had no response. */
  lastWhy: string;
  /** The last error response of an upstream; sent if no later attempt succeeds. */
  failedResponse: FullResponse | undefined;
}

/** Ends one request. */
export interface RequestCompletion {
  /** Milliseconds since the request arrived. */
  elapsedMs(): number;
  /** Logs and measures a completed response; `status` is undefined for a stream. */
  recordAnswered(status: number | undefined): void;
  /** Forwards an upstream's response to the caller. */
  sendResponse(response: FullResponse): void;
  /**
   * Sends an upstream's error response if there is one, or else a refusal that claims no more than is known; a caller
   * whose request has not run may return after `retryAfterMs`.
   */
  endWithFailure(reason: RefusalReason, retryAfterMs?: number): void;
}

/** Creates the `RequestCompletion` of one request. */
export const createRequestCompletion = (
  request: CallerRequest,
  progress: AttemptProgress,
  deps: ServingDeps,
): RequestCompletion => {
  const { route, res } = request;
  const { clock, lifecycle, metrics, log } = deps;

  const elapsedMs = (): number => Math.round(clock.monotonic() - request.arrivedAt);

  const recordAnswered = (status: number | undefined): void => {
    const { runs, notRuns } = progress;
    const ms = elapsedMs();
    lifecycle.recordServed(route.name, ms);
    metrics.record('gateway_answer_ms', ms, { kind: route.kind });
    log.event('answered', {
      id: request.id,
      route: route.name,
      status,
      runs,
      notRuns,
      ms,
    });
  };

  const sendResponse = ({ status, headers, body }: FullResponse): void => {
    // The body is known to be complete, so its end is marked: without that, the end of this process would look like it.
    const length = ['Content-Length', String(body.length)];
    const isSized = hasField(headers, 'content-length');
    sendHead(res, status, isSized ? headers : [...headers, ...length], lifecycle.isStopping());
    res.end(body);
    recordAnswered(status);
  };

  const endWithFailure = (reason: RefusalReason, retryAfterMs?: number): void => {
    const { runs, notRuns, unsent, lastWhy, failedResponse } = progress;
    if (failedResponse && !res.headersSent) {
      sendResponse(failedResponse);
      return;
    }
    const notRunRefusal = notRun(reason, deps.random, deps.directory.waitMs(request.service));
    const returnAt = retryAfterMs === undefined ? {} : { retryAfterMs };
    const refusal = runs > 0 ? mayHaveRun(reason) : { ...notRunRefusal, ...returnAt };
    const context = {
      id: request.id,
      route: route.name,
      heldMs: elapsedMs(),
      attempts: runs + notRuns,
    };
    const usage = reason === 'retry-budget-spent' ? deps.budget.usage(request.service) : {};
    refuse(res, refusal, { ...context, inputs: { lastWhy, unsent, ...usage } }, deps);
  };

  return { elapsedMs, recordAnswered, sendResponse, endWithFailure };
};
