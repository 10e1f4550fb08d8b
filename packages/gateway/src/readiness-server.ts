/** Server for the readiness probes of the platform's load balancer, and for metrics. */

import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { announcesBody } from '@plantaindrum/common';
import type { Metrics } from '@plantaindrum/common';
import type { ListenAddress } from './caller-server.js';

/** A running readiness server. */
export interface ReadinessServer {
  close(): void;
}

/**
 * Starts the server; every path except that of the metrics is a readiness probe. Rejects when the address is in use.
 */
export const createReadinessServer = async (
  listen: ListenAddress,
  metricsPath: string,
  isReady: () => boolean,
  metrics: Metrics,
): Promise<ReadinessServer> => {
  const server: Server = createServer((req, res) => {
    // A body is not read.
    if (announcesBody(req.headers)) res.setHeader('Connection', 'close');
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
