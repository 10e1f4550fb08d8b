/** The few HTTP helpers that every stand-in shares. */
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Serves one request; a rejection becomes a 500. */
export type Handler = (req: IncomingMessage, res: ServerResponse) => Promise<void> | void;

/** A listening server on the loopback address. */
export interface StandInServer {
  readonly url: string;
  readonly port: number;
  /** Destroys every connection and stops listening. */
  close(): Promise<void>;
}

/** Listens on 127.0.0.1; port 0 takes a free one. */
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
  const bound = (server.address() as AddressInfo).port;
  return {
    url: `http://127.0.0.1:${bound}`,
    port: bound,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};

/** The path and query of a request. */
export const addressOf = (req: IncomingMessage): URL => new URL(req.url ?? '/', 'http://stand-in');

/** Reads the whole body. */
export const readBody = async (req: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

/** Reads a JSON body; an empty one is an empty object. */
export const readJson = async <T>(req: IncomingMessage): Promise<T> => {
  const body = await readBody(req);
  return JSON.parse(body.length > 0 ? body.toString('utf8') : '{}') as T;
};

/** Sends a JSON answer. */
export const sendJson = (
  res: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void => {
  res.writeHead(status, { 'content-type': 'application/json', ...headers });
  res.end(JSON.stringify(value));
};

/** One header as a string. */
export const headerOf = (req: IncomingMessage, name: string): string | undefined => {
  const value = req.headers[name];
  return Array.isArray(value) ? value[0] : value;
};
