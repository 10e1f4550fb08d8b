/** Handles a caller's request: identifies it, reads its body, decides on admission and serves it. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import { abortResponse, pauseReading } from '@plantaindrum/common';
import type { RouteTable } from '../intent/route-table.js';
import { pickService } from '../intent/route-table.js';
import { fingerprintOf } from '../quarantine/index.js';
import type { RequestContent } from '../quarantine/index.js';
import type { CallerFields, Organisation, Route } from '../types.js';
import { admit } from './admit.js';
import { readCallerBody } from './read-caller-body.js';
import { heldRefusal, notRun, quarantineRefusal, refuse } from './refuse.js';
import type { Refusal, RefusalContext } from './refuse.js';
import { servePlain } from './serve-plain.js';
import { serveStream } from './serve-stream.js';
import type { CallerRequest, RefusalReason, ServingDeps } from './types.js';
import { waitForService } from './wait-for-service.js';

/** What the request handler needs from the entry. */
export interface RequestContext extends ServingDeps {
  /** Undefined until the first intent has been read. */
  routeTable: () => RouteTable | undefined;
  /** Resolves when there is an intent, or after this time, in ms. */
  waitForIntent: (timeoutMs: number) => Promise<void>;
  /** Milliseconds since this entry's intent was last confirmed to be the latest. */
  intentAgeMs: () => number;
}

/**
 * Age of the intent, in ms, beyond which an unknown route or key may have been added since. Operators expect a change
 * to be in force within two seconds.
 */
const MAX_INTENT_AGE_MS = 2_000;
/** A retry's deadline is shorter by at least this, in ms; random differences between callers are smaller. */
const RETURN_MARGIN_MS = 60;

/**
 * Longest wait for the first intent, in ms. An entry reads it within some 30 ms of its start, one of 1,500 routes
 * within 450 ms: for callers that arrive before, the wait is shorter than a refusal and a retry.
 */
const FIRST_INTENT_TIMEOUT_MS = 500;

/** Where an identified request belongs. */
interface RequestTarget {
  routeTable: RouteTable;
  route: Route;
  organisation: Organisation | undefined;
}

type SendRefusal = (refusal: Refusal, route?: Route, inputs?: RefusalContext['inputs']) => void;

type IdentifyResult = RequestTarget | { refusal: Refusal };

const reject = (reason: RefusalReason, status: Refusal['status']): { refusal: Refusal } => ({
  refusal: { reason, status },
});

const contentOf = ({ req, organisation }: CallerRequest, body: Uint8Array): RequestContent => ({
  method: req.method ?? 'GET',
  path: req.url ?? '/',
  organisation: organisation?.name,
  body,
});

/**
 * Returns the time since the first attempt of a caller, in ms: the deadline of its retry is shorter than the longest
 * one seen on the route. 0 for a first attempt.
 */
const createReturnDetector = () => {
  const longestByRoute = new Map<string, number>();
  return (route: Route, deadlineMs: number | undefined): number => {
    if (deadlineMs === undefined) return 0;
    const longestMs = Math.max(longestByRoute.get(route.name) ?? 0, deadlineMs);
    longestByRoute.set(route.name, longestMs);
    const elapsedMs = longestMs - deadlineMs;
    return elapsedMs > RETURN_MARGIN_MS ? elapsedMs : 0;
  };
};

/** Creates the handler of callers' requests. */
export const createRequestHandler = (context: RequestContext) => {
  const { clock, dialect, budget, lifecycle, random, metrics, log } = context;
  const timeSinceFirstAttempt = createReturnDetector();

  const rejectUnknown = (reason: RefusalReason, status: 401 | 404): { refusal: Refusal } =>
    context.intentAgeMs() > MAX_INTENT_AGE_MS
      ? { refusal: notRun('intent-outdated', random) }
      : reject(reason, status);

  const identify = (req: IncomingMessage, fields: CallerFields): IdentifyResult => {
    const routeTable = context.routeTable();
    if (!routeTable) return { refusal: notRun('no-intent', random) };
    const path = (req.url ?? '').split('?', 1)[0] ?? '';
    if (!path.startsWith('/') || fields.requestId === undefined) return reject('bad-request', 400);
    const route = routeTable.route(req.headers.host ?? '', path);
    if (!route) return rejectUnknown('unknown-route', 404);
    if (route.anonymous || routeTable.intent.organisations === undefined) {
      return { routeTable, route, organisation: undefined };
    }
    const organisation = routeTable.organisation(fields.apiKey ?? '');
    if (!organisation) return rejectUnknown('unknown-key', 401);
    return { routeTable, route, organisation };
  };

  const createCallerRequest = (
    req: IncomingMessage,
    res: ServerResponse,
    fields: CallerFields,
    target: RequestTarget,
    arrivedAt: number,
  ): CallerRequest => {
    const { route } = target;
    // Without a deadline of the caller the route's timeout applies.
    const waitMs = Math.min(route.timeoutMs, fields.deadlineMs ?? route.timeoutMs);
    const sinceFirstAttemptMs = timeSinceFirstAttempt(route, fields.deadlineMs);
    return {
      req,
      res,
      id: fields.requestId ?? '',
      fields,
      ...target,
      service: pickService(route, random) ?? '',
      body: new Uint8Array(),
      fingerprint: '',
      // The last part is the request's own.
      sharedParts: fields.promptParts.slice(0, -1),
      arrivedAt,
      deadlineAt: arrivedAt + waitMs,
      isReturn: sinceFirstAttemptMs > 0,
      sinceFirstAttemptMs,
      ticket: undefined,
    };
  };

  const serveAdmitted = (request: CallerRequest): Promise<void> =>
    request.route.kind === 'stream' ? serveStream(request, context) : servePlain(request, context);

  const admitAndServe = async (request: CallerRequest, sendRefusal: SendRefusal): Promise<void> => {
    const { route } = request;
    const admitted = await admit(request, context);
    if (admitted.outcome === 'caller-gone') {
      log.event('caller-gone', { id: request.id, route: route.name });
      return;
    }
    if (admitted.outcome === 'refused') {
      sendRefusal(admitted.refusal, route, admitted.inputs);
      return;
    }
    const { ticket } = admitted;
    try {
      await serveAdmitted({ ...request, ticket });
    } finally {
      ticket?.recordEnded(request.res.writableFinished);
    }
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const arrivedAt = clock.monotonic();
    const fields = dialect.readCaller(req.headers);
    const sendRefusal: SendRefusal = (refusal, route, inputs = {}) => {
      const heldMs = Math.round(clock.monotonic() - arrivedAt);
      const id = fields.requestId;
      refuse(res, refusal, { id, route: route?.name, heldMs, attempts: 0, inputs }, context);
    };
    if (lifecycle.phase() === 'closing' || lifecycle.phase() === 'exiting') {
      sendRefusal(notRun('stopping', random));
      return;
    }
    if (!context.routeTable()) {
      // What arrives meanwhile stays in the kernel: its limit isn't known yet.
      const resumeReading = pauseReading(req.socket);
      await context.waitForIntent(FIRST_INTENT_TIMEOUT_MS);
      resumeReading();
    }
    const identified = identify(req, fields);
    if ('refusal' in identified) {
      const routeTable = context.routeTable();
      const age = Math.round(context.intentAgeMs());
      sendRefusal(identified.refusal, undefined, { intent: routeTable?.intent.version, age });
      return;
    }
    const request = createCallerRequest(req, res, fields, identified, arrivedAt);
    const refuseIfStopping = (): boolean => {
      if (lifecycle.canServe(request)) return false;
      const neededMs = Math.round(request.deadlineAt - clock.monotonic());
      sendRefusal(notRun('stopping', random), request.route, { neededMs });
      return true;
    };
    if (refuseIfStopping()) return;
    const { bodyBytes } = identified.routeTable.intent.limits;
    const body = await readCallerBody(req, bodyBytes, clock);
    if (body.outcome === 'broken') {
      log.event('caller-gone', { id: request.id, route: request.route.name });
      res.destroy();
      return;
    }
    if (body.outcome === 'too-large') {
      res.setHeader('Connection', 'close');
      sendRefusal({ reason: 'body-too-large', status: 413 }, request.route);
      return;
    }
    if (refuseIfStopping()) return;
    budget.recordRequest(request.service);
    const fullRequest = {
      ...request,
      body: body.body,
      fingerprint: fingerprintOf(contentOf(request, body.body)),
    };
    const { fingerprint, sharedParts } = fullRequest;
    const quarantined = context.quarantine.refusal(fingerprint, sharedParts);
    if (quarantined) {
      const parts = 'parts' in quarantined ? quarantined.parts.join() : undefined;
      sendRefusal(quarantineRefusal(quarantined, random), request.route, { fingerprint, parts });
      return;
    }
    if (context.directory.excludedReason(request.service) === 'evacuated') {
      sendRefusal(notRun('evacuated', random), request.route);
      return;
    }
    const held = await waitForService(request, arrivedAt, context);
    if (res.destroyed) {
      log.event('caller-gone', { id: request.id, route: request.route.name });
      return;
    }
    if (refuseIfStopping()) return;
    const refusal = heldRefusal(held, random);
    if (refusal) {
      sendRefusal(refusal, request.route, { isReturn: request.isReturn });
      return;
    }
    // A probe is sent whatever the load: its group isn't known to be open, so it has no capacity to admit it to.
    if (held.outcome === 'probe') await serveAdmitted(fullRequest);
    else await admitAndServe(fullRequest, sendRefusal);
  };

  return (req: IncomingMessage, res: ServerResponse): void => {
    metrics.count('gateway_requests');
    serve(req, res).catch((err: unknown) => {
      metrics.count('gateway_faults');
      log.event('fault', { where: 'request', err: String(err) });
      abortResponse(res);
    });
  };
};
