/** HTTP server for operators: readiness, metrics, status and intent. */

import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { Clock, EntrySettings, Metrics, Refusal } from '@plantaindrum/common';
import { announcesBody, refusalBody, refusalHeaders, refusalStatus } from '@plantaindrum/common';
import type { IntentReader, SubmitOutcome } from '@plantaindrum/intent';
import type { CollectReports } from '../entry/node-reports.js';
import { readBody } from '../callers/read-body.js';
import { parseSubmission } from './submission.js';

/** Options of the operator server. */
export interface OperatorServerOptions {
  listen: EntrySettings['operators'];
  limits: EntrySettings['limits'];
  intent: IntentReader;
  /** Why the node is not ready, if so. */
  unready: () => Refusal | undefined;
  status: () => unknown;
  /** Collects the reports of nodes. */
  reports: CollectReports;
  clock: Clock;
  metrics: Metrics;
}

/** A listening operator server. */
export interface OperatorServer {
  url: string;
  close(): Promise<void>;
}

const STATUS_BY_OUTCOME: Record<SubmitOutcome['outcome'], number> = {
  accepted: 200,
  conflict: 409,
  invalid: 422,
  unknown: 504,
};

const digest = (text: string): Buffer => createHash('sha256').update(text).digest();

const sendJson = (res: ServerResponse, status: number, value: unknown): void => {
  res.writeHead(status, { 'content-type': 'application/json; charset=utf-8' });
  res.end(`${JSON.stringify(value)}\n`);
};

/** Starts the operator server; rejects when it cannot listen on the address. */
export const createOperatorServer = async (
  options: OperatorServerOptions,
): Promise<OperatorServer> => {
  const { listen, limits, intent, unready, status, reports, metrics } = options;
  const expectedDigest = digest(`Bearer ${listen.token}`);

  const refuse = (res: ServerResponse, refusal: Refusal): void => {
    metrics.count('operators_refused', { reason: refusal.reason });
    res.writeHead(refusalStatus(refusal), refusalHeaders(refusal));
    res.end(JSON.stringify(refusalBody(refusal)));
  };

  const serveReady = (res: ServerResponse): void => {
    const refusal = unready();
    if (refusal) refuse(res, refusal);
    else sendJson(res, 200, { ready: true });
  };

  const serveMetrics = (res: ServerResponse): void => {
    res.writeHead(200, { 'content-type': 'text/plain; version=0.0.4; charset=utf-8' });
    res.end(metrics.exposition());
  };

  const submit = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const body = await readBody(req, limits.bodyBytes, options.clock);
    if (!body) return;
    if (!body.ok) {
      refuse(res, body.err);
      return;
    }
    const submission = parseSubmission(body.value);
    if (!submission.ok) {
      sendJson(res, STATUS_BY_OUTCOME.invalid, { outcome: 'invalid', faults: submission.err });
      return;
    }
    const outcome = await intent.submit(submission.value);
    metrics.count('intent_submissions', { outcome: outcome.outcome });
    sendJson(res, STATUS_BY_OUTCOME[outcome.outcome], outcome);
  };

  const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
    const { method = 'GET', url = '/' } = req;
    const { pathname, searchParams } = new URL(url, 'http://node');
    const endpoint = `${method} ${pathname}`;
    // Only a submission's body is read.
    if (endpoint !== 'POST /intent' && announcesBody(req.headers)) {
      res.setHeader('connection', 'close');
    }
    if (endpoint === 'GET /ready') return serveReady(res);
    if (!timingSafeEqual(expectedDigest, digest(req.headers.authorization ?? ''))) {
      return refuse(res, { reason: 'operator-unauthorised' });
    }
    if (endpoint === 'GET /metrics') return serveMetrics(res);
    if (endpoint === 'GET /status') return sendJson(res, 200, status());
    if (endpoint === 'GET /nodes') {
      return sendJson(res, 200, await reports(searchParams.get('data-centre') ?? undefined));
    }
    if (endpoint === 'GET /intent') return sendJson(res, 200, intent.current());
    if (endpoint === 'POST /intent') return submit(req, res);
    return refuse(res, { reason: 'operator-unknown-path', data: { method, path: pathname } });
  };

  const server = createServer({ maxHeaderSize: limits.headerBytes }, (req, res) => {
    void serve(req, res);
  });
  server.maxConnections = limits.connections;
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(listen.port, listen.host, resolve);
  });
  const { port } = server.address() as AddressInfo;

  return {
    url: `http://${listen.host}:${port}`,
    close: async () => {
      server.close();
      server.closeAllConnections();
    },
  };
};
