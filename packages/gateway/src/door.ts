/** The callers' door: HTTP/1.1 in, with limits on what a caller may send and how long it may take. */

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

/** The callers' door. */
export interface Door {
  /** Takes the operators' limits. */
  limit(limits: CallerLimits): void;
  /** Requests that have no whole answer yet. */
  open(): number;
  /** Takes no new connection, and ends each as soon as nothing is under way on it. */
  stopListening(): void;
  close(): void;
}

/** Options of `createDoor`. */
export interface DoorOptions {
  listen: ListenAddress;
  handle: (req: IncomingMessage, res: ServerResponse) => void;
  /** Most connections at once, from the descriptors that the process may have. */
  maxConnections: number;
  metrics: Metrics;
  log: EventLog;
}

/** Header sizes above this are refused whatever the intent says, in bytes. */
const MAX_HEADER_BYTES = 65_536;
/** How often slow callers are looked for, in ms. */
const CHECK_MS = 500;
/** Kept beyond the callers' own idle limit, in ms: a connection that they may use is never closed. */
const IDLE_SLACK_MS = 2_000;
/** Idle limit before any intent is known, in ms. */
const FIRST_IDLE_MS = 15_000;
const FIRST_HEADER_MS = 3_000;
/** A body that is not whole by then was given up by its caller, in ms. */
const BODY_MS = 30_000;

const statusOf = (err: NodeJS.ErrnoException): [number, string] => {
  if (err.code === 'HPE_HEADER_OVERFLOW') return [431, 'Request Header Fields Too Large'];
  if (err.code === 'ERR_HTTP_REQUEST_TIMEOUT') return [408, 'Request Timeout'];
  return [400, 'Bad Request'];
};

/** Opens the door; rejects when the address is in use. */
export const createDoor = async (options: DoorOptions): Promise<Door> => {
  const { listen, handle, maxConnections, metrics, log } = options;
  let open = 0;
  let isEnding = false;
  let headerBytes = MAX_HEADER_BYTES;

  const isHeaderTooLarge = (req: IncomingMessage): boolean =>
    req.rawHeaders.reduce((sum, field) => sum + field.length + 2, 0) > headerBytes;

  const server: Server = createServer(
    {
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: FIRST_IDLE_MS + IDLE_SLACK_MS,
      headersTimeout: FIRST_HEADER_MS,
      requestTimeout: BODY_MS,
      connectionsCheckingInterval: CHECK_MS,
      noDelay: true,
      requireHostHeader: true,
    },
    (req, res) => {
      open += 1;
      res.once('close', () => {
        open -= 1;
      });
      // An answer that began before the stop did not tell its caller that the connection ends, and
      // the next request on it would be cut with the process.
      res.once('finish', () => {
        if (isEnding) req.socket.end();
      });
      if (isHeaderTooLarge(req)) {
        metrics.count('gateway_malformed', { status: '431' });
        res.writeHead(431, { Connection: 'close', 'Content-Length': '0' }).end();
        return;
      }
      handle(req, res);
    },
  );
  server.maxConnections = maxConnections;

  server.on('clientError', (err: NodeJS.ErrnoException, socket: Socket) => {
    if (err.code === 'ECONNRESET' || !socket.writable) {
      socket.destroy();
      return;
    }
    const [status, text] = statusOf(err);
    metrics.count('gateway_malformed', { status: String(status) });
    log.event('malformed-request', { status, code: err.code });
    socket.end(`HTTP/1.1 ${status} ${text}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  });
  server.on('drop', () => metrics.count('gateway_connections_dropped'));

  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.host, resolve);
  });

  return {
    limit: (limits) => {
      headerBytes = limits.headerBytes;
      server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_SLACK_MS;
      server.headersTimeout = limits.headerTimeoutMs;
    },
    open: () => open,
    stopListening: () => {
      isEnding = true;
      server.close();
      server.closeIdleConnections();
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
