import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import type { Connection } from './connection.js';
import { createConnection } from './connection.js';
import type { LinkOptions } from './options.js';

/** Options of a link server. */
export interface LinkServerOptions extends LinkOptions {
  /** IP address and port to listen on; port 0 selects a free port. */
  listen: { host: string; port: number };
}

/** Accepts links from peers. */
export interface LinkServer {
  readonly address: { host: string; port: number };
  /** Stops accepting links; open links stay. */
  stopListening(): void;
  /** Stops accepting links, closes every link once its sent frames are flushed, and waits until all are closed. */
  close(): Promise<void>;
}

/** Starts a link server; rejects if it can't listen on the address. */
export const createLinkServer = async (options: LinkServerOptions): Promise<LinkServer> => {
  const { listen, limits, metrics } = options;
  const connections = new Map<Connection, Promise<unknown>>();

  const serve = async (socket: Socket): Promise<void> => {
    const connection = createConnection(socket, options);
    const running = connection.run();
    connections.set(connection, running);
    await running;
    connections.delete(connection);
  };

  const server = createServer((socket) => {
    void serve(socket);
  });
  server.maxConnections = limits.connections;
  server.on('drop', () => metrics.count('link_refused', { reason: 'connections' }));

  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.host, resolve);
  });
  const { address, port } = server.address() as AddressInfo;

  const stopListening = (): void => {
    if (server.listening) server.close();
  };

  return {
    address: { host: address, port },
    stopListening,
    close: async () => {
      stopListening();
      [...connections.keys()].forEach((connection) => connection.close());
      await Promise.all(connections.values());
    },
  };
};
