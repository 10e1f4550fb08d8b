/** The callers' door: HTTP in, one answer or refusal out for each request. */

import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Clock, EntrySettings, Metrics, Refusal } from '@plantaindrum/common';
import { refusalBody, refusalHeaders, refusalStatus } from '@plantaindrum/common';
import type { IntentReader } from '@plantaindrum/intent';
import type { ServeOptions } from '../requests/serve-request.js';
import { serveRequest } from '../requests/serve-request.js';
import type { ClassTargets } from '../status/class-targets.js';
import { createAnswer } from './answer.js';
import { createRequestReader } from './request-reader.js';
import { createRequestTimes } from './request-times.js';
import { untilTaken } from './room.js';

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
/** Connections for each allowed one above which a new one is closed without an answer. */
const DROP_FACTOR = 2;

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
  const { limits, closedFor, clock, metrics } = options;
  const readRequest = createRequestReader(options);
  const overLimit = new WeakSet<Socket>();
  const tooMany: Refusal = {
    reason: 'too-many-connections',
    data: { limit: limits.connections },
  };
  let inFlight = 0;
  let onIdle = (): void => {};

  const countRefusal = ({ reason }: Refusal): void => metrics.count('requests_refused', { reason });

  const refuse = (res: ServerResponse, refusal: Refusal): void => {
    countRefusal(refusal);
    res.writeHead(refusalStatus(refusal), refusalHeaders(refusal));
    res.end(JSON.stringify(refusalBody(refusal)));
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const closed = overLimit.has(req.socket) ? tooMany : closedFor();
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
    const times = createRequestTimes(request, options);
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
    const end = await serveRequest(request, answer, onCallerGone, options.serve);
    if (end.outcome === 'refused') countRefusal(end.refusal);
    times.ended(end);
  };

  const serveCounted = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    inFlight += 1;
    metrics.gauge('requests_in_flight', inFlight);
    await serve(req, res);
    // Closing the door destroys connections; what is written and not yet sent would be lost.
    await untilTaken(res, clock, metrics);
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

  // Connections over the limit are told so in answer to their request: a refusal before it would
  // be lost in the reset that its arrival at a closed socket causes. Far more are dropped unheard.
  server.maxConnections = limits.connections * DROP_FACTOR;
  server.on('drop', () => countRefusal(tooMany));
  let connections = 0;
  server.on('connection', (socket: Socket) => {
    connections += 1;
    if (connections > limits.connections) overLimit.add(socket);
    socket.once('close', () => {
      connections -= 1;
    });
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
