/** One caller's request, from its head to the decision who serves it. */

import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RouteTable } from '../intent/route-table.js';
import { pickService } from '../intent/route-table.js';
import { fingerprintOf } from '../quarantine/index.js';
import type { RequestContent } from '../quarantine/index.js';
import type { CallerFields, Organisation, Route } from '../types.js';
import { awaitOpen } from './await-open.js';
import { readCallerBody } from './read-caller-body.js';
import { keptAway, notRun, refuse } from './refuse.js';
import type { Refusal } from './refuse.js';
import { servePlain } from './serve-plain.js';
import { serveStream } from './serve-stream.js';
import type { CallerRequest, RefusalReason, ServingDeps } from './types.js';

/** What the door knows beyond single requests. */
export interface RequestContext extends ServingDeps {
  table: () => RouteTable | undefined;
  /** Resolves when there is an intent, or after this long in ms. */
  untilIntent: (waitMs: number) => Promise<void>;
  /** Milliseconds since this entry's intent was last confirmed. */
  intentAge: () => number;
  /** The entry ends soon: what it took now might be cut with it. */
  isClosing: () => boolean;
}

/**
 * Beyond this age an unknown route or key may be one that this entry has not heard of, in ms. The
 * operators' bound for a change to be in force is two seconds.
 */
const OUTDATED_MS = 2_000;
/** Time that a caller has less on its second try, at least, in ms; chance makes less of a difference. */
const RETURN_MS = 60;

/**
 * An entry reads its first intent within some 30 ms of its start, one of 1,500 routes within 450; callers that reach
 * it before wait for it this long, in ms: late is better for them than to be sent away and come back.
 */
const FIRST_INTENT_MS = 500;

interface Found {
  table: RouteTable;
  route: Route;
  organisation: Organisation | undefined;
}

type Identified = Found | { refusal: Refusal };

const own = (reason: RefusalReason, status: Refusal['status']): { refusal: Refusal } => ({
  refusal: { reason, status },
});

const contentOf = ({ req, organisation }: CallerRequest, body: Uint8Array): RequestContent => ({
  method: req.method ?? 'GET',
  path: req.url ?? '/',
  organisation: organisation?.name,
  body,
});

/** Longest time that callers of a route have said they wait, by its name. */
const createLongestWaits = () => {
  const longest = new Map<string, number>();
  return (route: Route, deadlineMs: number | undefined): boolean => {
    if (deadlineMs === undefined) return false;
    const most = Math.max(longest.get(route.name) ?? 0, deadlineMs);
    longest.set(route.name, most);
    return deadlineMs < most - RETURN_MS;
  };
};

/** Creates the handler of callers' requests. */
export const createRequestHandler = (context: RequestContext) => {
  const { clock, dialect, budget, admission, directory, random, metrics, log } = context;
  const isReturning = createLongestWaits();

  const uncertain = (reason: RefusalReason, status: 401 | 404): { refusal: Refusal } =>
    context.intentAge() > OUTDATED_MS
      ? { refusal: notRun('intent-outdated', random) }
      : own(reason, status);

  const identify = (req: IncomingMessage, fields: CallerFields): Identified => {
    const table = context.table();
    if (!table) return { refusal: notRun('no-intent', random) };
    const path = (req.url ?? '').split('?', 1)[0] ?? '';
    if (!path.startsWith('/') || fields.requestId === undefined) return own('bad-request', 400);
    const route = table.route(req.headers.host ?? '', path);
    if (!route) return uncertain('unknown-route', 404);
    if (route.anonymous || table.intent.organisations === undefined) {
      return { table, route, organisation: undefined };
    }
    const organisation = table.organisation(fields.apiKey ?? '');
    if (!organisation) return uncertain('unknown-key', 401);
    return { table, route, organisation };
  };

  const admit = (request: CallerRequest): Refusal | undefined => {
    const { route, service } = request;
    const upstreams = directory.preferred(service);
    if (upstreams.length === 0) return notRun('no-upstream', random);
    const open = directory.open(service);
    if (open.length === 0) {
      return notRun(directory.obstacle(service), random, directory.waitMs(service));
    }
    const targetPauseMs = route.kind === 'stream' ? (route.targetPauseMs ?? Infinity) : undefined;
    const { isReturn, table } = request;
    const declared = table.service(service);
    const maxConnections = declared?.maxConnections ?? Infinity;
    const passTimes = declared?.engine?.passTimes;
    const asked = { service, targetPauseMs, passTimes, maxConnections, isReturn };
    const decision = admission.decide(asked, upstreams, open);
    return decision.admitted ? undefined : notRun(decision.reason, random);
  };

  const toRequest = (
    req: IncomingMessage,
    res: ServerResponse,
    fields: CallerFields,
    found: Found,
    arrivedAt: number,
  ): CallerRequest => {
    const { route } = found;
    // A caller that names no time is given its route's.
    const waitMs = Math.min(route.timeoutMs, fields.deadlineMs ?? route.timeoutMs);
    return {
      req,
      res,
      id: fields.requestId ?? '',
      fields,
      ...found,
      service: pickService(route, random) ?? '',
      body: new Uint8Array(),
      fingerprint: '',
      arrivedAt,
      deadlineAt: arrivedAt + waitMs,
      isReturn: isReturning(route, fields.deadlineMs),
    };
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const arrivedAt = clock.monotonic();
    const fields = dialect.readCaller(req.headers);
    const turnAway = (refusal: Refusal, route?: Route, inputs = {}): void => {
      const heldMs = Math.round(clock.monotonic() - arrivedAt);
      const id = fields.requestId;
      refuse(res, refusal, { id, route: route?.name, heldMs, attempts: 0, inputs }, context);
    };
    if (context.isClosing()) {
      turnAway(notRun('stopping', random));
      req.resume();
      return;
    }
    if (!context.table()) await context.untilIntent(FIRST_INTENT_MS);
    const found = identify(req, fields);
    if ('refusal' in found) {
      const table = context.table();
      const age = Math.round(context.intentAge());
      turnAway(found.refusal, undefined, { intent: table?.intent.version, age });
      req.resume();
      return;
    }
    const request = toRequest(req, res, fields, found, arrivedAt);
    const body = await readCallerBody(req, found.table.intent.limits.bodyBytes);
    if (body.outcome === 'broken') {
      log.event('caller-gone', { id: request.id, route: request.route.name });
      res.destroy();
      return;
    }
    if (body.outcome === 'too-large') {
      res.setHeader('Connection', 'close');
      turnAway({ reason: 'body-too-large', status: 413 }, request.route);
      return;
    }
    budget.noteRequest(request.service);
    const whole = {
      ...request,
      body: body.body,
      fingerprint: fingerprintOf(contentOf(request, body.body)),
    };
    const away = context.quarantine.refusal(whole.fingerprint);
    if (away) {
      turnAway(keptAway(away, random), request.route, { fingerprint: whole.fingerprint });
      return;
    }
    const mayGoOn = await awaitOpen(request, arrivedAt, context);
    if (res.destroyed) {
      log.event('caller-gone', { id: request.id, route: request.route.name });
      return;
    }
    const refusal = mayGoOn ? admit(request) : notRun('upstreams-refusing', random);
    if (refusal) {
      const limit = admission.limit(request.service);
      const pause = admission.pace(request.service).pause(0.75);
      turnAway(refusal, request.route, { limit, pause, isReturn: request.isReturn });
      return;
    }
    await (request.route.kind === 'stream'
      ? serveStream(whole, context)
      : servePlain(whole, context));
  };

  return (req: IncomingMessage, res: ServerResponse): void => {
    metrics.count('gateway_requests');
    serve(req, res).catch((err: unknown) => {
      metrics.count('gateway_faults');
      log.event('fault', { where: 'request', err: String(err) });
      res.destroy();
    });
  };
};
