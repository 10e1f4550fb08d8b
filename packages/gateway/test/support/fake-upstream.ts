/** An upstream on loopback whose responses are set by each test. */

import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A request that the upstream has received. */
export interface SeenRequest {
  method: string;
  path: string;
  headers: IncomingMessage['headers'];
  body: string;
}

/** Handles one request. */
export type Handler = (req: SeenRequest, res: ServerResponse) => void;

/** A running fake upstream. */
export interface FakeUpstream {
  port: number;
  seen: SeenRequest[];
  /** Number of requests whose connection closed before the response was complete. */
  abortedRequests(): number;
  /** Replaces the handler. */
  setHandler(next: Handler): void;
  close(): Promise<void>;
}

/** Header fields of a valid response in the test dialect. */
export const validHeaders = (req: SeenRequest): Record<string, string> => ({
  'x-id': String(req.headers['x-id']),
  'x-receipt': 'r',
});

/** Responds with 200, the request's id and a receipt. */
export const answerOk =
  (body = 'ok'): Handler =>
  (req, res) => {
    res.writeHead(200, validHeaders(req)).end(body);
  };

/** Refuses the request and states that it has not run. */
export const refuseNotRun: Handler = (_, res) => {
  res.writeHead(503, { 'x-not-run': '1' }).end();
};

/** Resets the connection once the request has been read. */
export const resetConnection: Handler = (_, res) => {
  res.socket?.resetAndDestroy();
};

/** Starts a stream and sends events with these ids; `end` says whether it ends cleanly, is reset or stays open. */
export const streamEvents =
  (ids: readonly number[], end: 'whole' | 'reset' | 'open'): Handler =>
  (req, res) => {
    res.writeHead(200, { ...validHeaders(req), 'content-type': 'text/event-stream' });
    ids.forEach((id) => res.write(`id: ${id}\ndata: ${id}\n\n`));
    if (end === 'whole') res.end();
    if (end === 'reset') setTimeout(() => res.socket?.resetAndDestroy(), 30);
  };

const readAll = async (req: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of req as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
};

/** Starts a fake upstream, on any port by default. */
export const startFakeUpstream = async (first: Handler, port = 0): Promise<FakeUpstream> => {
  let handler = first;
  let abortedRequests = 0;
  const seen: SeenRequest[] = [];
  const server: Server = createServer((req, res) => {
    res.on('close', () => {
      if (!res.writableFinished) abortedRequests += 1;
    });
    void readAll(req).then(
      (body) => {
        const { method = '', url = '', headers } = req;
        const seenRequest = { method, path: url, headers, body };
        seen.push(seenRequest);
        handler(seenRequest, res);
      },
      () => {},
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(port, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    seen,
    abortedRequests: () => abortedRequests,
    setHandler: (next) => {
      handler = next;
    },
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
