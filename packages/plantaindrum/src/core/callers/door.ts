/** The callers' door: HTTP in, one answer or refusal out for each request. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Clock, EntrySettings, Metrics, Refusal, Result } from '@plantaindrum/common';
import { fail, ok, refusalBody, refusalHeaders, refusalStatus } from '@plantaindrum/common';
import type { IntentReader } from '@plantaindrum/intent';
import type { ServeOptions } from '../requests/serve-request.js';
import { serveRequest } from '../requests/serve-request.js';
import type { EntryRequest, RequestEnd } from '../requests/types.js';
import type { ClassTargets } from '../status/class-targets.js';
import { createAnswer } from './answer.js';
import { forwardedHeaders } from './headers.js';
import {
  COMPLETIONS_PATH,
  createKeyTable,
  findClass,
  findRoute,
  parseCompletion,
} from './identify.js';
import { readBody } from './read-body.js';

/** What the callers' door needs. */
export interface CallersDoorOptions {
  listen: EntrySettings['callers'];
  limits: EntrySettings['limits'];
  intent: Pick<IntentReader, 'current'>;
  /** Why nothing new is taken now, if so. */
  closedFor: () => Refusal | undefined;
  serve: ServeOptions;
  targets: Pick<ClassTargets, 'note'>;
  clock: Clock;
  metrics: Metrics;
}

/** An open door. */
export interface CallersDoor {
  url: string;
  /** Requests that have no whole answer yet. */
  inFlight(): number;
  /** Takes no new connections and resolves when every request has ended. */
  drain(): Promise<void>;
  /** Breaks off what is left. */
  close(): Promise<void>;
}

/** Time that a caller has to send its header, and its whole request, in milliseconds. */
const HEADERS_MS = 10_000;
const REQUEST_MS = 60_000;

const listen = (server: Server, { host, port }: { host: string; port: number }): Promise<string> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const { port: taken } = server.address() as AddressInfo;
      resolve(`http://${host}:${taken}`);
    });
  });

/** A refusal as raw HTTP, for connections that have no request yet. */
const rawRefusal = (refusal: Refusal): string => {
  const body = JSON.stringify(refusalBody(refusal));
  const headers = {
    ...refusalHeaders(refusal),
    'content-length': String(Buffer.byteLength(body)),
    connection: 'close',
  };
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  return [`HTTP/1.1 ${refusalStatus(refusal)} Refused`, ...lines, '', body].join('\r\n');
};

/** Opens the callers' door; rejects when the address can't be listened on. */
export const openCallersDoor = async (options: CallersDoorOptions): Promise<CallersDoor> => {
  const { limits, intent, closedFor, targets, clock, metrics } = options;
  const findOrganisation = createKeyTable();
  let inFlight = 0;
  let onIdle = (): void => {};

  const countRefusal = ({ reason }: Refusal, labels: Record<string, string> = {}): void =>
    metrics.count('requests_refused', { reason, ...labels });

  const refuse = (res: ServerResponse, refusal: Refusal): void => {
    countRefusal(refusal);
    res.writeHead(refusalStatus(refusal), refusalHeaders(refusal));
    res.end(JSON.stringify(refusalBody(refusal)));
  };

  const readRequest = async (
    req: IncomingMessage,
  ): Promise<Result<EntryRequest, Refusal> | undefined> => {
    const arrivedAt = clock.monotonic();
    const { method = 'GET', url: path = '/' } = req;
    const view = intent.current();
    const organisation = findOrganisation(view, req.headers);
    if (organisation === undefined) return fail({ reason: 'unknown-key' });
    const pathname = path.split('?')[0] ?? path;
    const isCompletion = pathname === COMPLETIONS_PATH;
    const route = isCompletion ? undefined : findRoute(view.document, pathname);
    if (!isCompletion && !route) return fail({ reason: 'unknown-route', data: { method, path } });
    if (isCompletion && method !== 'POST') {
      return fail({ reason: 'method-not-allowed', data: { method, path } });
    }
    const requestClass = findClass(view.document, req.headers, organisation, route);
    if (!requestClass.ok) return requestClass;
    const body = await readBody(req, limits.bodyBytes);
    if (!body?.ok) return body;
    const target = route
      ? ok({ kind: 'service' as const, service: route.service })
      : parseCompletion(body.value);
    if (!target.ok) return target;
    const idempotencyKey = req.headers['idempotency-key'];
    return ok({
      organisation,
      class: requestClass.value,
      target: target.value,
      method,
      path,
      headers: forwardedHeaders(req.headers),
      body: body.value,
      ...(typeof idempotencyKey === 'string' && { idempotencyKey }),
      arrivedAt,
    });
  };

  /** Times of one answer: the target is its first token. */
  const timesOf = (request: EntryRequest) => {
    const { arrivedAt, class: requestClass, organisation } = request;
    const labels = { class: requestClass.name };
    let first: number | undefined;
    let last = arrivedAt;

    const sent = (): void => {
      const now = clock.monotonic();
      metrics.record(
        first === undefined ? 'first_token_ms' : 'between_tokens_ms',
        now - last,
        labels,
      );
      first ??= now;
      last = now;
    };

    const ended = (end: RequestEnd): void => {
      metrics.count('requests_ended', { ...labels, organisation, outcome: end.outcome });
      if (end.outcome === 'caller-gone') return;
      const waited = (first ?? Infinity) - arrivedAt;
      targets.note(
        requestClass.name,
        end.outcome === 'answered' && waited <= requestClass.latestAnswerMs,
      );
      if (end.outcome === 'refused') countRefusal(end.refusal);
      else metrics.record('whole_answer_ms', clock.monotonic() - arrivedAt, labels);
    };

    return { sent, ended };
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const closed = closedFor();
    if (closed) {
      res.setHeader('connection', 'close');
      refuse(res, closed);
      return;
    }
    const read = await readRequest(req);
    if (!read) {
      metrics.count('requests_broken_off');
      return;
    }
    if (!read.ok) {
      refuse(res, read.err);
      return;
    }
    const request = read.value;
    const { target } = request;
    const times = timesOf(request);
    const answer = createAnswer({
      res,
      clock,
      metrics,
      endsInDone: target.kind === 'model' && target.stream,
      onSent: times.sent,
    });
    const onCallerGone = (fn: () => void): (() => void) => {
      if (res.destroyed) fn();
      res.on('close', fn);
      return () => res.off('close', fn);
    };
    times.ended(await serveRequest(request, answer, onCallerGone, options.serve));
  };

  const serveCounted = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    inFlight += 1;
    metrics.gauge('requests_in_flight', inFlight);
    await serve(req, res);
    inFlight -= 1;
    metrics.gauge('requests_in_flight', inFlight);
    if (inFlight === 0) onIdle();
  };

  const serverOptions = {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: HEADERS_MS,
    requestTimeout: REQUEST_MS,
  };
  const server = createServer(serverOptions, (req, res) => {
    void serveCounted(req, res);
  });

  let connections = 0;
  server.on('connection', (socket: Socket) => {
    connections += 1;
    socket.once('close', () => {
      connections -= 1;
    });
    if (connections <= limits.connections) return;
    const refusal: Refusal = {
      reason: 'too-many-connections',
      data: { limit: limits.connections },
    };
    countRefusal(refusal);
    socket.end(rawRefusal(refusal));
  });

  server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
    if (err.code === 'ECONNRESET' || !socket.writable) return;
    const refusal: Refusal =
      err.code === 'HPE_HEADER_OVERFLOW'
        ? { reason: 'header-too-large', data: { limit: limits.headerBytes } }
        : { reason: 'bad-request', data: { detail: err.code ?? err.message } };
    countRefusal(refusal);
    socket.end(rawRefusal(refusal));
  });

  const url = await listen(server, options.listen);

  return {
    url,
    inFlight: () => inFlight,
    drain: async () => {
      server.close();
      server.closeIdleConnections();
      if (inFlight === 0) return;
      await new Promise<void>((resolve) => {
        onIdle = resolve;
      });
    },
    close: async () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
