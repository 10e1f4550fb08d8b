/** The one answer that a request's attempts end with: an upstream's, or the entry's own. */

import { beginAnswer, hasField } from './deliver.js';
import { mayHaveRun, notRun, refuse } from './refuse.js';
import type { CallerRequest, RefusalReason, ServingDeps } from './types.js';

/** An upstream's answer that has been read whole. */
export interface WholeAnswer {
  outcome: 'whole';
  status: number;
  headers: string[];
  body: Uint8Array;
  /** Its end is marked by a length or by chunks, and not by the end of its connection alone. */
  isFramed: boolean;
}

/** What the attempts of a request have come to so far. */
export interface Progress {
  /** Attempts that ran or may have run, those proved not to have, and of these the ones that were never sent. */
  runs: number;
  notRuns: number;
  unsent: number;
  /** Why the last attempt brought no answer. */
  lastWhy: string;
  /** A failure that an upstream answered; given where no attempt brings more. */
  failedAnswer: WholeAnswer | undefined;
}

/** Ways to end a request. */
export interface FinalAnswer {
  /** Milliseconds since the request arrived. */
  held(): number;
  /** Notes an answer that has been given; the status of a stream is not known here. */
  answered(status: number | undefined): void;
  deliver(answer: WholeAnswer): void;
  /** Ends the request with a failure of an upstream, or else with a refusal that promises no more than is proved. */
  giveUp(reason: RefusalReason): void;
}

/** Creates the ways to end one request. */
export const createFinalAnswer = (
  request: CallerRequest,
  progress: Progress,
  deps: ServingDeps,
): FinalAnswer => {
  const { route, res } = request;
  const { clock, metrics, log } = deps;

  const held = (): number => Math.round(clock.monotonic() - request.arrivedAt);

  const answered = (status: number | undefined): void => {
    const { runs, notRuns } = progress;
    metrics.record('gateway_answer_ms', held(), { kind: route.kind });
    log.event('answered', { id: request.id, route: route.name, status, runs, notRuns, ms: held() });
  };

  const deliver = ({ status, headers, body, isFramed }: WholeAnswer): void => {
    // An upstream that crashes in the middle of an answer without a length may end its connection
    // cleanly, and nothing tells the rest is missing. With a length of ours the caller would take
    // it for whole for certain, so the answer ends as the upstream's did: with its connection.
    if (!isFramed) res.removeHeader('Transfer-Encoding');
    const length = ['Content-Length', String(body.length)];
    const isSized = !isFramed || hasField(headers, 'content-length');
    beginAnswer(res, status, isSized ? headers : [...headers, ...length], deps.isStopping());
    res.end(body);
    answered(status);
  };

  const giveUp = (reason: RefusalReason): void => {
    const { runs, notRuns, unsent, lastWhy, failedAnswer } = progress;
    if (failedAnswer && !res.headersSent) {
      deliver(failedAnswer);
      return;
    }
    const refusal =
      runs > 0
        ? mayHaveRun(reason)
        : notRun(reason, deps.random, deps.directory.waitMs(request.service));
    const context = { id: request.id, route: route.name, heldMs: held(), attempts: runs + notRuns };
    refuse(res, refusal, { ...context, inputs: { lastWhy, unsent } }, deps);
  };

  return { held, answered, deliver, giveUp };
};
