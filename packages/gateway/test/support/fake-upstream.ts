/** An upstream on loopback that answers as each test tells it, request by request. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** What one request met. */
export interface SeenRequest {
  method: string;
  path: string;
  headers: IncomingMessage['headers'];
  body: string;
}

/** Acts on one request. */
export type Act = (req: SeenRequest, res: ServerResponse) => void;

/** A running upstream. */
export interface FakeUpstream {
  port: number;
  seen: SeenRequest[];
  /** Connections that ended before their answer was whole. */
  brokenOff(): number;
  act(next: Act): void;
  close(): Promise<void>;
}

/** Fields that a sound answer bears in the test dialect. */
export const soundHeaders = (req: SeenRequest): Record<string, string> => ({
  'x-id': String(req.headers['x-id']),
  'x-receipt': 'r',
});

/** Answers 200 with the request's id and a receipt. */
export const answerOk =
  (body = 'ok'): Act =>
  (req, res) => {
    res.writeHead(200, soundHeaders(req)).end(body);
  };

/** Refuses without running. */
export const refuseUnrun: Act = (_, res) => {
  res.writeHead(503, { 'x-not-run': '1' }).end();
};

/** Resets the connection once the request has been read. */
export const resetConnection: Act = (_, res) => {
  res.socket?.resetAndDestroy();
};

/** Begins a stream and sends events with these ids; `end` closes it cleanly. */
export const streamEvents =
  (ids: readonly number[], end: 'whole' | 'reset' | 'open'): Act =>
  (req, res) => {
    res.writeHead(200, { ...soundHeaders(req), 'content-type': 'text/event-stream' });
    ids.forEach((id) => res.write(`id: ${id}\ndata: ${id}\n\n`));
    if (end === 'whole') res.end();
    if (end === 'reset') setTimeout(() => res.socket?.resetAndDestroy(), 30);
  };

const readAll = async (req: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

/** Starts an upstream. */
export const startFakeUpstream = async (first: Act): Promise<FakeUpstream> => {
  let act = first;
  let brokenOff = 0;
  const seen: SeenRequest[] = [];
  const server: Server = createServer((req, res) => {
    res.on('close', () => {
      if (!res.writableFinished) brokenOff += 1;
    });
    void readAll(req).then(
      (body) => {
        const { method = '', url = '', headers } = req;
        const one = { method, path: url, headers, body };
        seen.push(one);
        act(one, res);
      },
      () => {},
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    seen,
    brokenOff: () => brokenOff,
    act: (next) => {
      act = next;
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
