import { once } from 'node:events';
import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createMailbox } from './mailbox.js';

/** One request that the upstream received, with its response. */
export interface UpstreamExchange {
  req: IncomingMessage;
  res: ServerResponse;
  body: string;
}

/** Starts an HTTP server whose answers the test writes. */
export const createFakeUpstream = async () => {
  const arrived = createMailbox<UpstreamExchange>();
  let requests = 0;
  const server = createServer((req, res) => {
    requests += 1;
    const parts: Buffer[] = [];
    req.on('data', (part: Buffer) => parts.push(part));
    req.on('end', () => arrived.put({ req, res, body: Buffer.concat(parts).toString() }));
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    next: arrived.take,
    requests: () => requests,
    close: async () => {
      if (!server.listening) return;
      server.close();
      server.closeAllConnections();
      await once(server, 'close');
    },
  };
};

/** The upstream of a test. */
export type FakeUpstream = Awaited<ReturnType<typeof createFakeUpstream>>;
