/** HTTP server for callers: each request ends in one response or refusal. */

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
import { waitUntilSent } from './drain-wait.js';
import { createRequestMetrics } from './request-metrics.js';
import { createRequestReader } from './request-reader.js';

/** Options of the caller server. */
export interface CallerServerOptions {
  listen: EntrySettings['callers'];
  limits: EntrySettings['limits'];
  intent: Pick<IntentReader, 'current'>;
  /** Why new requests are refused at the moment, if they are. */
  newRequestRefusal: () => Refusal | undefined;
  serve: ServeOptions;
  targets: Pick<ClassTargets, 'record'>;
  clock: Clock;
  metrics: Metrics;
}

/** A listening caller server. */
export interface CallerServer {
  url: string;
  /** Requests whose response has not been sent completely. */
  inFlight(): number;
  /** Stops listening and resolves when every request has ended. */
  drain(): Promise<void>;
  /** Closes all connections, including those with requests in flight. */
  close(): Promise<void>;
}

/** Time for a caller to send the header of a request. */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time for a caller to send a whole request. */
const REQUEST_TIMEOUT_MS = 60_000;
/** Connections above this multiple of the limit are closed without a refusal. */
const DROP_CONNECTIONS_FACTOR = 2;

const listen = (server: Server, { host, port }: { host: string; port: number }): Promise<string> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const { port: boundPort } = server.address() as AddressInfo;
      resolve(`http://${host}:${boundPort}`);
    });
  });

/**
 * Fraction of the connections above which each response closes its connection, so that the connections that callers
 * keep open don't use up those for new callers.
 */
const CROWDED_FRACTION = 0.5;

/** Formats a refusal as raw HTTP, for connections without a parsed request. */
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

/** Starts the caller server; rejects when it cannot listen on the address. */
export const createCallerServer = async (options: CallerServerOptions): Promise<CallerServer> => {
  const { limits, newRequestRefusal, clock, metrics } = options;
  const readRequest = createRequestReader(options);
  const overLimit = new WeakSet<Socket>();
  const tooManyConnections: Refusal = {
    reason: 'too-many-connections',
    data: { limit: limits.connections },
  };
  let connections = 0;
  let inFlight = 0;
  let onIdle = (): void => {};

  const countRefusal = ({ reason }: Refusal): void => metrics.count('requests_refused', { reason });

  const refuse = (res: ServerResponse, refusal: Refusal): void => {
    countRefusal(refusal);
    res.writeHead(refusalStatus(refusal), refusalHeaders(refusal));
    res.end(JSON.stringify(refusalBody(refusal)));
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    if (connections > limits.connections * CROWDED_FRACTION) res.setHeader('connection', 'close');
    const refuseAndClose = (refusal: Refusal | undefined): boolean => {
      if (!refusal || res.destroyed) return false;
      res.setHeader('connection', 'close');
      refuse(res, refusal);
      return true;
    };
    if (refuseAndClose(overLimit.has(req.socket) ? tooManyConnections : newRequestRefusal())) {
      return;
    }
    const read = await readRequest(req);
    // The entry may have begun to stop while the body arrived.
    if (refuseAndClose(newRequestRefusal())) return;
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
    // Closing the server destroys connections, which would lose data written but not yet sent.
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

  // A connection over the limit is refused after its request has been read: had the socket been
  // closed before, the request's arrival would reset it and the refusal would be lost.
  // Connections above `DROP_CONNECTIONS_FACTOR` times the limit are dropped without a refusal.
  server.maxConnections = limits.connections * DROP_CONNECTIONS_FACTOR;
  server.on('drop', () => countRefusal(tooManyConnections));
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
