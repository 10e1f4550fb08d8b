/** An upstream of the users' platform that records what reaches it, and answers after a while. */

import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A running upstream. */
export interface RecordingUpstream {
  port: number;
  /** Requests that reached it, with their times (monotonic, ms). */
  arrivals: { at: number }[];
  close(): Promise<void>;
}

/** Time to an answer, and between the events of a stream, in ms. */
const ANSWER_MS = 40;
const EVENTS = 4;

/** Starts an upstream on a free port. */
export const startRecordingUpstream = async (
  instance: string,
  host: string,
  stampOf: (instance: string) => Record<string, string>,
): Promise<RecordingUpstream> => {
  const arrivals: { at: number }[] = [];
  const server = createServer((req, res) => {
    arrivals.push({ at: performance.now() });
    req.resume();
    const id = String(req.headers['x-request-id']);
    const isStream = (req.url ?? '').startsWith('/gen/');
    const type = isStream ? 'text/event-stream' : 'text/plain';
    let event = Number(req.headers['last-event-id'] ?? 0);
    const step = (): void => {
      if (res.destroyed) return;
      if (!res.headersSent) {
        res.writeHead(200, { 'X-Request-Id': id, 'Content-Type': type, ...stampOf(instance) });
      }
      event += 1;
      if (isStream) res.write(`id: ${event}\ndata: t\n\n`);
      if (isStream && event < EVENTS) setTimeout(step, ANSWER_MS);
      else res.end(isStream ? undefined : 'done');
    };
    setTimeout(step, ANSWER_MS);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, host, resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    arrivals,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
