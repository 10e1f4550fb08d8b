/** HTTP/1.1 server for callers, with limits on what a caller may send and how long it may take. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { EventLog, Metrics } from '@plantaindrum/common';
import type { CallerLimits } from './types.js';

/** An address to listen on. */
export interface ListenAddress {
  host: string;
  port: number;
}

/** A running caller server. */
export interface CallerServer {
  /** Applies the operators' limits. */
  setLimits(limits: CallerLimits): void;
  /** Number of requests whose response is not complete. */
  openRequests(): number;
  /** Accepts no new connections, and closes each connection as soon as it has no request in flight. */
  stopListening(): void;
  /** Closes all connections. */
  close(): void;
}

/** Options of `createCallerServer`. */
export interface CallerServerOptions {
  listen: ListenAddress;
  handle: (req: IncomingMessage, res: ServerResponse) => void;
  /** Maximum number of concurrent connections, derived from the file descriptors that the process may open. */
  maxConnections: number;
  metrics: Metrics;
  log: EventLog;
}

/**
 * Fraction of the connections above which each response closes its connection, so that the connections that callers
 * keep open don't use up those for new callers.
 */
const CROWDED_FRACTION = 0.5;
/** Larger headers are refused whatever the intent says, in bytes. */
const MAX_HEADER_BYTES = 65_536;
/** How often connections are checked for timeouts, in ms. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;
/** Added to the idle timeout of callers, in ms, so that a connection that a caller may still use is never closed. */
const IDLE_TIMEOUT_MARGIN_MS = 2_000;
/** Idle timeout until the first intent is known, in ms. */
const INITIAL_IDLE_TIMEOUT_MS = 15_000;
/** Header timeout until the first intent is known, in ms. */
const INITIAL_HEADER_TIMEOUT_MS = 3_000;
/** Timeout of a complete request, in ms: a caller whose body takes longer has given up. */
const REQUEST_TIMEOUT_MS = 30_000;

const statusForError = (err: NodeJS.ErrnoException): [number, string] => {
  if (err.code === 'HPE_HEADER_OVERFLOW') return [431, 'Request Header Fields Too Large'];
  if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') return [408, 'Request Timeout'];
  return [400, 'Bad Request'];
};

/** Starts the server; rejects when the address is in use. */
export const createCallerServer = async (options: CallerServerOptions): Promise<CallerServer> => {
  const { listen, handle, maxConnections, metrics, log } = options;
  let openRequests = 0;
  let openConnections = 0;
  let isDraining = false;
  let maxHeaderBytes = MAX_HEADER_BYTES;

  const isHeaderTooLarge = (req: IncomingMessage): boolean =>
    req.rawHeaders.reduce((sum, field) => sum + field.length + 2, 0) > maxHeaderBytes;

  const server: Server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: INITIAL_IDLE_TIMEOUT_MS + IDLE_TIMEOUT_MARGIN_MS,
      headersTimeout: INITIAL_HEADER_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      noDelay: true,
      requireHostHeader: true,
    },
    (req, res) => {
      openRequests += 1;
      res.once('close', () => {
        openRequests -= 1;
      });
      // A response that began before the stop has no `Connection: close`, so its caller could send another
      // request on the connection, which would be cut off when the process exits.
      res.once('finish', () => {
        if (isDraining) req.socket.end();
      });
      if (openConnections > maxConnections * CROWDED_FRACTION) res.setHeader('Connection', 'close');
      if (isHeaderTooLarge(req)) {
        metrics.count('gateway_malformed', { status: '431' });
        res.writeHead(431, { Connection: 'close', 'Content-Length': '0' }).end();
        return;
      }
      handle(req, res);
    },
  );
  server.maxConnections = maxConnections;
  server.on('connection', (socket) => {
    openConnections += 1;
    socket.once('close', () => {
      openConnections -= 1;
    });
  });

  server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const [status, statusText] = statusForError(err);
    metrics.count('gateway_malformed', { status: String(status) });
    log.event('malformed-request', { status, code: err.code });
    socket.end(
      `HTTP/1.1 ${status} ${statusText}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`,
    );
  });
  server.on('drop', () => metrics.count('gateway_connections_dropped'));

  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.host, resolve);
  });

  return {
    setLimits: (limits) => {
      maxHeaderBytes = limits.headerBytes;
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_TIMEOUT_MARGIN_MS;
      server.headersTimeout = limits.headerTimeoutMs;
    },
    openRequests: () => openRequests,
    stopListening: () => {
      isDraining = true;
      server.close();
      server.closeIdleConnections();
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
