/** One attempt at one upstream, until the head of its response. */

import type { IncomingMessage } from 'node:http';
import { hasFraming, startExchange } from '@plantaindrum/exchange';
import type { Exchange } from '@plantaindrum/exchange';
import type { ResponseFields } from '../types.js';
import type { MonitoredAttempt } from '../quarantine/index.js';
import type { Upstream } from '../upstreams/upstream.js';
import type { CallerRequest, ServingDeps } from './types.js';

/** How an attempt ended without a response that can be forwarded. */
export type AttemptFailure =
  /** It is known not to have run: nothing was sent, or the upstream says so. */
  | { outcome: 'not-run'; why: string; wasSent: boolean; hasRoom?: boolean }
  /** It may have run, and has no usable response. */
  | { outcome: 'unknown'; why: string };

/** A response whose head has been received. */
export interface AttemptResponse {
  outcome: 'answered';
  res: IncomingMessage;
  fields: ResponseFields;
  status: number;
}

/** An attempt in flight. */
export interface Attempt {
  upstream: Upstream;
  head: Promise<AttemptResponse | AttemptFailure>;
  forwardBody: Exchange['forwardBody'];
  readBody: Exchange['readBody'];
  /**
   * Whether an answer whose body has ended without a fault is proved to be complete. One that ends with its connection
   * needs the upstream's process to live on: the kernel closes the connections of a process that crashes.
   */
  isProvedComplete(res: IncomingMessage): Promise<boolean>;
  /** Reports to the quarantine how this attempt ends. */
  run: MonitoredAttempt;
  abort(): void;
  /** Ends the attempt: frees the upstream's slot and closes the connection. */
  end(): void;
}

/**
 * Timeout of a connection attempt, in ms. A connection takes about a millisecond, but a lost SYN packet is sent again
 * only after a second, so it is faster to try another upstream.
 */
const CONNECT_TIMEOUT_MS = 350;
/** Largest urgency value, the least urgent one. */
const MAX_URGENCY = 9;

/** Statuses that tell a caller that its request did not run. */
const notRunStatuses = new Set([421, 429, 503]);

/** Urgency of a request among those that wait, 0 first. */
export const urgencyOf = (request: CallerRequest): number =>
  Math.min(MAX_URGENCY, request.organisation?.priority ?? request.route.priority);

/** Starts an attempt; the remaining time of the request is sent with it. */
export const startAttempt = (
  request: CallerRequest,
  upstream: Upstream,
  lastEventId: number | undefined,
  deps: ServingDeps,
): Attempt => {
  const { clock, dialect, metrics, log, rateLimits, survival } = deps;
  const { record } = upstream;
  const startedAt = clock.monotonic();
  const attemptFields = {
    deadlineMs: Math.max(1, Math.floor(request.deadlineAt - startedAt)),
    instance: record.instance,
    organisation: request.organisation?.name,
    urgency: urgencyOf(request),
    lastEventId,
  };
  const { fingerprint, sharedParts } = request;
  const run = deps.quarantine.begin(fingerprint, record, sharedParts, 'pending');
  const exchange: Exchange = startExchange(
    {
      host: record.host,
      port: record.port,
      method: request.req.method ?? 'GET',
      path: request.req.url ?? '/',
      headers: dialect.writeAttempt(request.req.rawHeaders, attemptFields, request.body.length),
      body: request.body,
      connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, attemptFields.deadlineMs),
      onConnected: () => {
        run.recordConnected();
        deps.groups.recordConnected(upstream);
      },
    },
    clock,
  );
  const liveness = survival.hold(record);
  upstream.begin();
  rateLimits.recordSent(upstream);
  deps.groups.recordSent(upstream);
  metrics.count('gateway_attempts', { service: record.service });
  let ended = false;

  const fail = (failure: AttemptFailure): AttemptFailure => {
    const kind = failure.outcome === 'not-run' && !failure.wasSent ? 'unreachable' : 'failed';
    // An attempt that was aborted here says nothing about its upstream.
    if (!ended) upstream.recordFailure(kind);
    // Before the upstream's end is reported: it did not end on a request that it did not run.
    if (failure.outcome === 'not-run') run.recordNotRun();
    return failure;
  };

  const classifyResponse = (res: IncomingMessage): AttemptResponse | AttemptFailure => {
    const fields = dialect.readResponse(res.headers);
    const status = res.statusCode ?? 0;
    // A response by another instance at this address says nothing about this one.
    if (status !== 421) {
      const { rateLimit: perSecond, hasReceipt: hasRun } = fields;
      rateLimits.recordResponse(upstream, {
        requestId: request.id,
        perSecond,
        sentAt: startedAt,
        hasRun,
      });
    }
    if (fields.load) upstream.recordLoad(fields.load.running, fields.load.waiting);
    if (fields.notRun || status === 421) {
      res.resume();
      const { running, waiting } = fields.load ?? { running: 0, waiting: 0 };
      const hasRoom = running + waiting < record.slots;
      const why = `status-${status}`;
      const failure = fail({ outcome: 'not-run', why, wasSent: true, hasRoom });
      // Another instance has the address: this one has exited, though its entry stays in the list for some seconds.
      if (status === 421) {
        deps.directory.recordReplaced(upstream);
        deps.quarantine.handleEnd(record, 'other-instance');
      } else upstream.recordRefusal();
      return failure;
    }
    if (fields.requestId !== undefined && fields.requestId !== request.id) {
      return fail({ outcome: 'unknown', why: 'answer-of-another-request' });
    }
    // These statuses tell the caller that nothing ran, which only the upstream's own statement proves.
    if (notRunStatuses.has(status)) return fail({ outcome: 'unknown', why: `bare-${status}` });
    if (status < 300 && !fields.hasReceipt) {
      return fail({ outcome: 'unknown', why: 'no-receipt' });
    }
    survival.recordFraming(record.service, hasFraming(res));
    return { outcome: 'answered', res, fields, status };
  };

  const head = exchange.head.then((outcome) => {
    if (outcome.outcome === 'head') return classifyResponse(outcome.res);
    if (outcome.outcome === 'not-sent') {
      const failure = fail({ outcome: 'not-run', why: outcome.why, wasSent: false });
      if (outcome.why === 'ECONNREFUSED') deps.quarantine.handleEnd(record, 'refused-connection');
      return failure;
    }
    if (!ended) upstream.recordMayHaveEnded();
    return fail({ outcome: 'unknown', why: outcome.why });
  });

  const end = (): void => {
    if (ended) return;
    ended = true;
    upstream.end();
    run.end();
    liveness?.release();
    exchange.abort();
  };

  const { forwardBody, readBody } = exchange;
  const isProvedComplete = async (res: IncomingMessage): Promise<boolean> => {
    if (hasFraming(res)) return true;
    const endedAt = clock.monotonic();
    const connection = liveness?.connection();
    const outcome = await survival.confirm(upstream.record, connection);
    metrics.count('gateway_unframed_answers', { survival: outcome });
    log.event('unframed-answer-ended', {
      id: request.id,
      upstream: record.instance,
      state: upstream.record.state,
      isHeld: connection !== undefined,
      survival: outcome,
      ms: Math.round(clock.monotonic() - endedAt),
    });
    return outcome === 'alive';
  };

  return { upstream, head, forwardBody, readBody, isProvedComplete, run, abort: end, end };
};
