/** Reads HTTP requests of callers and resolves their organisation, class and target. */

import type { IncomingMessage } from 'node:http';
import type { Clock, EntrySettings, Refusal, Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { IntentDocument, IntentReader, RouteIntent } from '@plantaindrum/intent';
import type { EntryRequest } from '../requests/types.js';
import { forwardedHeaders } from './headers.js';
import type { RequestTarget } from './identify.js';
import {
  COMPLETIONS_PATH,
  createOrganisationLookup,
  findClass,
  findRoute,
  parseCompletion,
} from './identify.js';
import { readBody } from './read-body.js';

/** Options of the request reader. */
export interface RequestReaderOptions {
  limits: Pick<EntrySettings['limits'], 'bodyBytes'>;
  intent: Pick<IntentReader, 'current'>;
  clock: Clock;
}

/** Reads one request; undefined when its caller disconnected. */
export type ReadRequest = (
  req: IncomingMessage,
) => Promise<Result<EntryRequest, Refusal> | undefined>;

const MAX_KEY_CHARACTERS = 255;

const badRequest = (detail: string): { ok: false; err: Refusal } =>
  fail({ reason: 'bad-request', data: { detail } });

/** Completions need no route; every other path must match one. */
const resolveRoute = (
  document: IntentDocument,
  method: string,
  path: string,
): Result<RouteIntent | undefined, Refusal> => {
  const pathname = path.split('?')[0] ?? path;
  if (pathname === COMPLETIONS_PATH) {
    if (method === 'POST') return ok(undefined);
    return fail({ reason: 'method-not-allowed', data: { method, path } });
  }
  const route = findRoute(document, pathname);
  return route ? ok(route) : fail({ reason: 'unknown-route', data: { method, path } });
};

const resolveTarget = (
  route: RouteIntent | undefined,
  body: Buffer,
): Result<RequestTarget, Refusal> =>
  route ? ok({ kind: 'service', service: route.service }) : parseCompletion(body);

const parseIdempotencyKey = ({ headers }: IncomingMessage): Result<string | undefined, Refusal> => {
  const key = headers['idempotency-key'];
  if (key === undefined) return ok(undefined);
  if (typeof key !== 'string' || key === '' || key.length > MAX_KEY_CHARACTERS) {
    return badRequest(`"Idempotency-Key" has not 1 to ${MAX_KEY_CHARACTERS} characters`);
  }
  return ok(key);
};

/** Creates the request reader of one server. */
export const createRequestReader = (options: RequestReaderOptions): ReadRequest => {
  const { limits, intent, clock } = options;
  const findOrganisation = createOrganisationLookup();

  return async (req) => {
    const arrivedAt = clock.monotonic();
    const { method = 'GET', url: path = '/', headers } = req;
    const view = intent.current();
    const organisation = findOrganisation(view, headers);
    if (organisation === undefined) return fail({ reason: 'unknown-key' });
    const route = resolveRoute(view.document, method, path);
    if (!route.ok) return route;
    const requestClass = findClass(view.document, headers, organisation, route.value);
    if (!requestClass.ok) return requestClass;
    const key = parseIdempotencyKey(req);
    if (!key.ok) return key;
    const body = await readBody(req, limits.bodyBytes, clock);
    if (!body?.ok) return body;
    const target = resolveTarget(route.value, body.value);
    if (!target.ok) return target;
    return ok({
      organisation,
      class: requestClass.value,
      target: target.value,
      method,
      path,
      headers: forwardedHeaders(headers),
      body: body.value,
      ...(key.value !== undefined && { idempotencyKey: key.value }),
      arrivedAt,
    });
  };
};
