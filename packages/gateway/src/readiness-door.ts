/** Answers the platform's balancer: may this entry have new connections? */

import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { Metrics } from '@plantaindrum/common';
import type { ListenAddress } from './door.js';

/** The balancer's door. */
export interface ReadinessDoor {
  close(): void;
}

/** Opens the door; any path but that of the metrics asks for readiness. */
export const createReadinessDoor = async (
  listen: ListenAddress,
  metricsPath: string,
  isReady: () => boolean,
  metrics: Metrics,
): Promise<ReadinessDoor> => {
  const server: Server = createServer((req, res) => {
    if (req.url === metricsPath) {
      res.end(metrics.exposition());
      return;
    }
    res.writeHead(isReady() ? 200 : 503, { 'Content-Length': '0' }).end();
  });
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.host, resolve);
  });
  return {
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
