/** An upstream on loopback that sends raw bytes instead of answers. */

import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { FakeUpstream } from './fake-upstream.js';

/** What a raw upstream sends: `first`, then `rest` again and again until the caller closes the connection. */
export interface RawAnswer {
  first: string;
  rest: string;
}

/** A running raw upstream. */
export interface RawUpstream extends FakeUpstream {
  openConnections(): number;
  /** Bytes that were taken from it, over all connections. */
  sentBytes(): number;
}

/** Repeats of `rest` in one write. */
const REPEATS = 512;

const sendWithoutEnd = (socket: Socket, { first, rest }: RawAnswer): void => {
  socket.write(first);
  if (rest === '') return;
  const bytes = Buffer.from(rest.repeat(REPEATS));
  const send = (): void => {
    while (socket.writable && socket.write(bytes));
    socket.once('drain', send);
  };
  send();
};

/** Starts an upstream that sends these bytes once it has received something. */
export const startRawUpstream = async (answer: RawAnswer): Promise<RawUpstream> => {
  const sockets = new Set<Socket>();
  let closedBytes = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('close', () => {
      sockets.delete(socket);
      closedBytes += socket.bytesWritten - socket.writableLength;
    });
    socket.once('data', () => sendWithoutEnd(socket, answer));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    seen: [],
    abortedRequests: () => 0,
    setHandler: () => {},
    openConnections: () => sockets.size,
    sentBytes: () => closedBytes,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        sockets.forEach((socket) => socket.destroy());
      }),
  };
};
