/** Callers that keep their connections open, and what they take each answer for. */

import { Agent, request } from 'node:http';

/** An answer as its caller sees it. */
export interface ReceivedAnswer {
  /** Status; 0 without a response. */
  status: number;
  /** Whether the caller's client takes it for complete. */
  isComplete: boolean;
  body: string;
  /** When it ended (Unix time, ms). */
  endedAt: number;
}

/** A request of a caller. */
export interface CallerCall {
  url: string;
  headers: Readonly<Record<string, string>>;
  body: string;
}

/** Callers with connections of their own. */
export interface Callers {
  send(call: CallerCall): Promise<ReceivedAnswer>;
  close(): void;
}

const MAX_CONNECTIONS = 400;
const TIMEOUT_MS = 4_000;

/** Creates the callers. */
export const createCallers = (): Callers => {
  const agent = new Agent({ keepAlive: true, maxSockets: MAX_CONNECTIONS });
  const send = ({ url, headers, body }: CallerCall): Promise<ReceivedAnswer> =>
    new Promise((resolve) => {
      let status = 0;
      let text = '';
      const finish = (isComplete: boolean): void =>
        resolve({
          ...{ status, isComplete, body: text },
          endedAt: performance.timeOrigin + performance.now(),
        });
      const options = { method: 'POST', headers, agent, timeout: TIMEOUT_MS };
      const req = request(url, options, (res) => {
        status = res.statusCode ?? 0;
        res.on('data', (bytes: Buffer) => {
          text += bytes.toString();
        });
        res.on('end', () => finish(res.complete));
        res.on('error', () => finish(false));
        res.on('close', () => finish(false));
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => finish(false));
      req.end(body);
    });
  return { send, close: () => agent.destroy() };
};
