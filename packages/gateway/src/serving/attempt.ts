/** One attempt at one upstream, from choice to the head of its answer. */

import type { IncomingMessage } from 'node:http';
import { startExchange } from '../attempts/exchange.js';
import type { Exchange } from '../attempts/exchange.js';
import type { AnswerFields } from '../types.js';
import type { QuarantineRun } from '../quarantine/index.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { CallerRequest, ServingDeps } from './types.js';

/** How an attempt ended before an answer could be passed on. */
export type AttemptFailure =
  /** Proved not to have run: nothing was sent, or the upstream says so. */
  | { outcome: 'not-run'; why: string; wasSent: boolean }
  /** It may have run and has no answer. */
  | { outcome: 'unknown'; why: string };

/** An answer whose head has come. */
export interface AttemptAnswer {
  outcome: 'answered';
  res: IncomingMessage;
  fields: AnswerFields;
  status: number;
}

/** A running attempt. */
export interface Attempt {
  upstream: Upstream;
  head: Promise<AttemptAnswer | AttemptFailure>;
  bodyEnd: Exchange['bodyEnd'];
  readBody: Exchange['readBody'];
  /** What the quarantine learns from this attempt. */
  watched: QuarantineRun;
  abort(): void;
  /** Ends the attempt: the upstream's slot counts as free, and its connection is closed. */
  end(): void;
}

/**
 * Time for a connection, in ms: links take about a millisecond, and a lost opening packet is sent
 * again only after a second, so another upstream is the shorter way.
 */
const CONNECT_MS = 350;
const MAX_URGENCY = 9;

const statusesNotRun = new Set([421, 429, 503]);

/** Rank of a request among those that wait, 0 first. */
export const urgencyOf = (request: CallerRequest): number =>
  Math.min(MAX_URGENCY, request.organisation?.priority ?? request.route.priority);

/** Starts an attempt; what is left of the caller's time goes with it. */
export const startAttempt = (
  request: CallerRequest,
  upstream: Upstream,
  lastEventId: number | undefined,
  deps: ServingDeps,
): Attempt => {
  const { clock, dialect, metrics, rateLimits } = deps;
  const { record } = upstream;
  const startedAt = clock.monotonic();
  const attemptFields = {
    deadlineMs: Math.max(1, Math.floor(request.deadlineAt - startedAt)),
    instance: record.instance,
    organisation: request.organisation?.name,
    urgency: urgencyOf(request),
    lastEventId,
  };
  const exchange: Exchange = startExchange(
    {
      host: record.host,
      port: record.port,
      method: request.req.method ?? 'GET',
      path: request.req.url ?? '/',
      headers: dialect.writeAttempt(request.req.rawHeaders, attemptFields, request.body.length),
      body: request.body,
      connectMs: Math.min(CONNECT_MS, attemptFields.deadlineMs),
    },
    clock,
  );
  upstream.begin();
  rateLimits.noteSent(upstream);
  const watched = deps.quarantine.begin(request.fingerprint, record);
  metrics.count('gateway_attempts', { service: record.service });
  let ended = false;

  const settle = (failure: AttemptFailure): AttemptFailure => {
    const kind = failure.outcome === 'not-run' && !failure.wasSent ? 'unreachable' : 'failed';
    // An attempt that was given up here says nothing about its upstream.
    if (!ended) upstream.noteFailure(kind);
    if (failure.outcome === 'not-run') watched.noteNotRun();
    return failure;
  };

  const judge = (res: IncomingMessage): AttemptAnswer | AttemptFailure => {
    const fields = dialect.readAnswer(res.headers);
    const status = res.statusCode ?? 0;
    // Another instance at the address says nothing of this one.
    if (status !== 421) {
      const { rateLimit: perSecond, hasReceipt: hasRun } = fields;
      rateLimits.noteAnswer(upstream, {
        requestId: request.id,
        perSecond,
        sentAt: startedAt,
        hasRun,
      });
    }
    if (fields.load) upstream.noteLoad(fields.load.running, fields.load.waiting);
    if (fields.notRun || status === 421) {
      res.resume();
      // Another instance has the address: this one is gone, though its entry stands for seconds yet.
      if (status === 421) {
        deps.directory.noteReplaced(upstream);
        deps.quarantine.noteEnded(record, 'other-instance');
      } else upstream.noteRefusal();
      return settle({ outcome: 'not-run', why: `status-${status}`, wasSent: true });
    }
    if (fields.requestId !== undefined && fields.requestId !== request.id) {
      return settle({ outcome: 'unknown', why: 'answer-of-another-request' });
    }
    // These statuses promise the caller that nothing ran, which only the upstream's own statement proves.
    if (statusesNotRun.has(status)) return settle({ outcome: 'unknown', why: `bare-${status}` });
    if (status < 300 && !fields.hasReceipt) {
      return settle({ outcome: 'unknown', why: 'no-receipt' });
    }
    return { outcome: 'answered', res, fields, status };
  };

  const head = exchange.head.then((outcome) => {
    if (outcome.outcome === 'head') return judge(outcome.res);
    if (outcome.outcome === 'not-sent') {
      if (outcome.why === 'ECONNREFUSED') deps.quarantine.noteEnded(record, 'refused-connection');
      return settle({ outcome: 'not-run', why: outcome.why, wasSent: false });
    }
    return settle({ outcome: 'unknown', why: outcome.why });
  });

  const end = (): void => {
    if (ended) return;
    ended = true;
    upstream.end();
    watched.end();
    exchange.abort();
  };

  const { bodyEnd, readBody } = exchange;
  return { upstream, head, bodyEnd, readBody, watched, abort: end, end };
};
