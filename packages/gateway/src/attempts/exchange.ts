/** One HTTP exchange with an upstream on a connection of its own. */

import { request } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Clock } from '@plantaindrum/common';

/** Where and what to send. */
export interface ExchangeRequest {
  host: string;
  port: number;
  method: string;
  /** Path and query as the caller sent them. */
  path: string;
  /** Names and values in turn. */
  headers: string[];
  body: Uint8Array;
  /** Time for the connection to be made, in milliseconds. */
  connectMs: number;
}

/** How the wait for an answer's head ended. */
export type HeadOutcome =
  | { outcome: 'head'; res: IncomingMessage }
  /** No connection was made, so nothing was sent: the request has not run and won't. */
  | { outcome: 'not-sent'; why: string }
  /** The request was sent and no head came: it may have run. */
  | { outcome: 'unknown'; why: string };

/** How the reading of an answer's body ended. */
export type BodyEnd = 'whole' | 'broken';

/** A running exchange. */
export interface Exchange {
  head: Promise<HeadOutcome>;
  /** Resolves when the body has ended; anything but a clean end is `broken`. */
  bodyEnd(res: IncomingMessage): Promise<BodyEnd>;
  /** Reads a body into memory; undefined when it broke off or is larger than `most` bytes. */
  readBody(res: IncomingMessage, most: number): Promise<Uint8Array | undefined>;
  /** Gives up; the upstream sees its connection close. */
  abort(): void;
}

const codeOf = (err: Error): string => (err as NodeJS.ErrnoException).code ?? err.message;

/**
 * Starts an exchange. Each has a connection of its own: on a kept one, a second or late answer of an
 * upstream would be read as the answer to the next request, a request that may not repeat would be
 * lost to an idle timeout that crosses it, and one that went silent would take a request to find out.
 */
export const startExchange = (options: ExchangeRequest, clock: Clock): Exchange => {
  const { host, port, method, path, headers, body, connectMs } = options;
  let isConnected = false;
  let isDone = false;
  let hasFailed = false;
  let req: ClientRequest | undefined;

  const head = new Promise<HeadOutcome>((resolve) => {
    const settle = (outcome: HeadOutcome): void => {
      isDone = true;
      resolve(outcome);
    };
    const failed = (why: string): void =>
      settle(isConnected ? { outcome: 'unknown', why } : { outcome: 'not-sent', why });
    try {
      req = request({ host, port, method, path, headers, agent: false, setHost: false });
    } catch (err) {
      failed(codeOf(err as Error));
      return;
    }
    const sent = req;
    const stopTimer = clock.after(connectMs, () => {
      if (!isConnected) sent.destroy(new Error('connect-timeout'));
    });
    sent.on('socket', (socket) => {
      socket.setNoDelay(true);
      socket.once('connect', () => {
        isConnected = true;
        stopTimer();
      });
    });
    sent.on('error', (err) => {
      stopTimer();
      hasFailed = true;
      if (!isDone) failed(codeOf(err));
    });
    sent.on('response', (res) => settle({ outcome: 'head', res }));
    sent.end(body);
  });

  // A body without a length ends with its connection. Node's parser takes a reset for that end, too,
  // and marks the answer as complete; only the error tells a cut body from a whole one.
  const bodyEnd = (res: IncomingMessage): Promise<BodyEnd> =>
    new Promise((resolve) => {
      res.once('error', () => resolve('broken'));
      res.once('close', () => resolve(res.complete && !hasFailed ? 'whole' : 'broken'));
    });

  return {
    head,
    bodyEnd,
    readBody: async (res, most) => {
      const chunks: Uint8Array[] = [];
      let size = 0;
      const ended = bodyEnd(res);
      res.on('data', (chunk: Uint8Array) => {
        size += chunk.length;
        if (size > most) res.destroy();
        else chunks.push(chunk);
      });
      return (await ended) === 'whole' && size <= most ? Buffer.concat(chunks, size) : undefined;
    },
    abort: () => {
      req?.destroy();
    },
  };
};
