/** HTTP server of an agent for operators: readiness, metrics, status and the intent in force. */

import { createHash, timingSafeEqual } from 'node:crypto';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { announcesBody } from '@plantaindrum/common';

/** Options of `createOperatorServer`. */
export interface OperatorServerOptions {
  listen: { host: string; port: number };
  token: string;
  /** Maximum number of open connections. */
  connections: number;
  ready: () => boolean;
  /** Metrics in the Prometheus text format. */
  metrics: () => string;
  status: () => unknown;
  intent: () => unknown;
}

/** A listening operator server. */
export interface OperatorServer {
  readonly url: string;
  close(): Promise<void>;
}

const digest = (text: string): Buffer => createHash('sha256').update(text).digest();

const isAuthorised = (req: IncomingMessage, token: string): boolean => {
  const given = digest(req.headers.authorization ?? '');
  return timingSafeEqual(given, digest(`Bearer ${token}`));
};

const sendJson = (res: ServerResponse, status: number, value: unknown): void => {
  res.writeHead(status, { 'content-type': 'application/json' });
  res.end(`${JSON.stringify(value)}\n`);
};

const sendText = (res: ServerResponse, text: string): void => {
  res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
  res.end(text);
};

/** Starts the operator server; rejects if it can't listen on the address. */
export const createOperatorServer = async (
  options: OperatorServerOptions,
): Promise<OperatorServer> => {
  const { listen, token, ready } = options;

  const handleRequest = (req: IncomingMessage, res: ServerResponse): void => {
    // A body is not read.
    if (announcesBody(req.headers)) res.setHeader('connection', 'close');
    const { pathname } = new URL(req.url ?? '/', 'http://agent');
    if (req.method !== 'GET') {
      sendJson(res, 405, { error: 'method-not-allowed' });
      return;
    }
    if (pathname === '/ready') {
      sendJson(res, ready() ? 200 : 503, { ready: ready() });
      return;
    }
    if (!isAuthorised(req, token)) {
      sendJson(res, 401, { error: 'not-authorised' });
      return;
    }
    if (pathname === '/metrics') sendText(res, options.metrics());
    else if (pathname === '/status') sendJson(res, 200, options.status());
    else if (pathname === '/intent') sendJson(res, 200, options.intent());
    else sendJson(res, 404, { error: 'unknown-path' });
  };

  const server = createServer(handleRequest);
  server.maxConnections = options.connections;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.host, resolve);
  });
  const { address, port } = server.address() as AddressInfo;

  return {
    url: `http://${address}:${port}`,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
