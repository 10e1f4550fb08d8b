/** HTTP helpers shared by the stand-ins. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Handles one request; a rejection results in a 500 response. */
export type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

/** An HTTP server that listens on the loopback address. */
export interface StandInServer {
  readonly url: string;
  readonly port: number;
  /** Stops listening and closes all connections. */
  close(): Promise<void>;
}

/** Listens on 127.0.0.1; port 0 selects a free port. */
export const listen = async (handler: Handler, port = 0): Promise<StandInServer> => {
  const server = createServer(async (req, res) => {
    try {
      await handler(req, res);
    } catch (err) {
      if (res.headersSent) res.destroy();
      else res.writeHead(500).end(String(err));
    }
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, '127.0.0.1', resolve);
  });
  const boundPort = (server.address() as AddressInfo).port;
  return {
    url: `http://127.0.0.1:${boundPort}`,
    port: boundPort,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};

/** Parses a request's path and query. */
export const requestUrl = (req: IncomingMessage): URL => new URL(req.url ?? '/', 'http://stand-in');

/** Reads the full request body. */
export const readBody = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

/** Reads a JSON body; an empty body yields an empty object. */
export const readJson = async <T>(req: IncomingMessage): Promise<T> => {
  const body = await readBody(req);
  return JSON.parse(body.length > 0 ? body.toString('utf8') : '{}') as T;
};

/** Sends a JSON response. */
export const sendJson = (
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void => {
  res.writeHead(status, { 'content-type': 'application/json', ...headers });
  res.end(JSON.stringify(value));
};

/** Returns a header's value; the first one if it is repeated. */
export const getHeader = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
};
