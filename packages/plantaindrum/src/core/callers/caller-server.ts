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
import { createCallerResponse } from './caller-response.js';
import { createRequestReader } from './request-reader.js';
import { createRequestMetrics } from './request-metrics.js';
import { waitUntilSent } from './drain-wait.js';

/** What the callers' door needs. */
export interface CallerServerOptions {
  listen: EntrySettings['callers'];
  limits: EntrySettings['limits'];
  intent: Pick<IntentReader, 'current'>;
  /** Why nothing new is taken now, if so. */
  newRequestRefusal: () => Refusal | undefined;
  serve: ServeOptions;
  targets: Pick<ClassTargets, 'record'>;
  clock: Clock;
  metrics: Metrics;
}

/** An open door. */
export interface CallerServer {
  url: string;
  /** Requests that have no whole answer yet. */
  inFlight(): number;
  /** Takes no new connections and resolves when every request has ended. */
  drain(): Promise<void>;
  /** Breaks off what is left. */
  close(): Promise<void>;
}

/** Time that a caller has to send its header, and its whole request, in milliseconds. */
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
/** Connections for each allowed one above which a new one is closed without an answer. */
const DROP_CONNECTIONS_FACTOR = 2;

const listen = (server: Server, { host, port }: { host: string; port: number }): Promise<string> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const { port: boundPort } = server.address() as AddressInfo;
      resolve(`http://${host}:${boundPort}`);
    });
  });

/** A refusal as raw HTTP, for connections that have no request yet. */
const formatRawRefusal = (refusal: Refusal): string => {
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
export const createCallerServer = async (options: CallerServerOptions): Promise<CallerServer> => {
  const { limits, newRequestRefusal, clock, metrics } = options;
  const readRequest = createRequestReader(options);
  const overLimit = new WeakSet<Socket>();
  const tooManyConnections: Refusal = {
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
    const refusal = overLimit.has(req.socket) ? tooManyConnections : newRequestRefusal();
    if (refusal) {
      res.setHeader('connection', 'close');
      refuse(res, refusal);
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
    const requestMetrics = createRequestMetrics(request, options);
    const response = createCallerResponse({
      res,
      clock,
      metrics,
      requiresDone: target.kind === 'model' && target.stream,
      onSent: requestMetrics.recordSent,
    });
    const onCallerDisconnect = (fn: () => void): (() => void) => {
      if (res.destroyed) fn();
      res.on('close', fn);
      return () => res.off('close', fn);
    };
    const end = await serveRequest(request, response, onCallerDisconnect, options.serve);
    if (end.outcome === 'refused') countRefusal(end.refusal);
    requestMetrics.recordEnd(end);
  };

  const serveAndCount = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    inFlight += 1;
    metrics.gauge('requests_in_flight', inFlight);
    await serve(req, res);
    // Closing the door destroys connections; what is written and not yet sent would be lost.
    await waitUntilSent(res, clock, metrics);
    inFlight -= 1;
    metrics.gauge('requests_in_flight', inFlight);
    if (inFlight === 0) onIdle();
  };

  const serverOptions = {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
  };
  const server = createServer(serverOptions, (req, res) => {
    void serveAndCount(req, res);
  });

  // Connections over the limit are told so in answer to their request: a refusal before it would
  // be lost in the reset that its arrival at a closed socket causes. Far more are dropped unheard.
  server.maxConnections = limits.connections * DROP_CONNECTIONS_FACTOR;
  server.on('drop', () => countRefusal(tooManyConnections));
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
    socket.end(formatRawRefusal(refusal));
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
