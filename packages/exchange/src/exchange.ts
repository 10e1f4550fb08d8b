/** One HTTP exchange with an upstream. */

import { request } from 'node:http';
import { request as secureRequest } from 'node:https';
import type { Agent, ClientRequest, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import type { Socket } from 'node:net';
import { createBodyReader, createByteBuffer, limitOverhead } from '@plantaindrum/common';
import type { BodyReader, BytesHandler, Clock } from '@plantaindrum/common';

/** The request of an exchange and where it is sent. */
export interface ExchangeRequest {
  host: string;
  port: number;
  method: string;
  /** Path and query as the caller sent them. */
  path: string;
  /** Names and values in turn, or by name. */
  headers: readonly string[] | OutgoingHttpHeaders;
  body: Uint8Array;
  /** Timeout of the connection attempt, in milliseconds. */
  connectTimeoutMs: number;
  /** Whether the connection uses TLS. */
  isSecure?: boolean;
  /** Pool of kept connections; without one, the exchange has a connection of its own. */
  connections?: Agent;
  /** Called when the connection is established, from when on the request may run. */
  onConnected?: () => void;
}

/** Result of waiting for the head of a response. */
export type HeadOutcome =
  | { outcome: 'head'; res: IncomingMessage }
  /** No connection was established, so nothing was sent: the request has not run and won't. */
  | { outcome: 'not-sent'; why: string }
  /** The request was sent and no head was received: it may have run. */
  | { outcome: 'unknown'; why: string };

/** How a response's body ended. */
export type BodyEnd = 'whole' | 'broken';

/** An exchange in flight. */
export interface Exchange {
  head: Promise<HeadOutcome>;
  /**
   * Passes the body on; resolves when it has ended and all of it was handled. It is `whole` if its framing says so, or if
   * the upstream closed the connection.
   */
  forwardBody(handler: BytesHandler): Promise<BodyEnd>;
  /** Buffers the body; undefined when it broke off or is larger than `maxBytes`. */
  readBody(maxBytes: number): Promise<Uint8Array | undefined>;
  /** Aborts the exchange by closing its connection; what is awaited of it settles now, whatever the upstream sends. */
  abort(): void;
}

/** Statuses of responses that never have a body. */
const BODILESS_STATUSES = new Set([204, 304]);

/** Whether a response's end is marked by a length or by chunks, and not only by the end of its connection. */
export const hasFraming = (res: IncomingMessage): boolean => {
  const { headers, statusCode = 0 } = res;
  const { method } = (res as IncomingMessage & { req: ClientRequest }).req;
  if (method === 'HEAD' || BODILESS_STATUSES.has(statusCode)) return true;
  const coding = headers['transfer-encoding'];
  // With another coding last, the body ends with its connection, whatever the length says.
  return coding === undefined ? 'content-length' in headers : /\bchunked\s*$/i.test(coding);
};

const codeOf = (err: Error): string => (err as NodeJS.ErrnoException).code ?? err.message;

/**
 * Starts an exchange. On a kept connection a second or late response would be read as the response to the next request,
 * and an idle timeout of the upstream could hit a request that must not be repeated; it is for trusted upstreams and
 * requests that may be repeated.
 */
export const startExchange = (options: ExchangeRequest, clock: Clock): Exchange => {
  const { host, port, method, path, headers, connectTimeoutMs, connections } = options;
  let isConnected = false;
  let hasFailed = false;
  let hasUpstreamClosed = false;
  let req: ClientRequest | undefined;
  let response: IncomingMessage | undefined;
  let body: BodyReader | undefined;
  let settleAborted = (): void => {};
  let endBody: (end: BodyEnd) => void = () => {};
  const bodyEnd = new Promise<BodyEnd>((resolve) => {
    endBody = resolve;
  });

  const observeEnd = (socket: Socket, clientRequest: ClientRequest): void => {
    // A connection that was reset has no peer address. It is first read here, as Node.js keeps what it has read.
    const handleEnd = (): void => {
      hasUpstreamClosed = socket.remoteAddress !== undefined;
    };
    socket.prependOnceListener('end', handleEnd);
    clientRequest.once('close', () => socket.off('end', handleEnd));
  };

  // Data, a reset and an end of the connection may be read in one turn of the event loop, which then reports the end only.
  const isWhole = (res: IncomingMessage): boolean =>
    res.complete && !hasFailed && (hasFraming(res) || hasUpstreamClosed);

  // The body may have ended before whoever awaits the head can read it.
  const observeBody = (res: IncomingMessage): void => {
    response = res;
    body = createBodyReader(res, clock);
    res.once('error', () => endBody('broken'));
    res.once('close', () => endBody(isWhole(res) ? 'whole' : 'broken'));
  };

  const head = new Promise<HeadOutcome>((resolve) => {
    // Only the first outcome counts.
    const fail = (why: string): void =>
      resolve(isConnected ? { outcome: 'unknown', why } : { outcome: 'not-sent', why });
    try {
      const target = { host, port, method, path, setHost: false, agent: connections ?? false };
      const send = options.isSecure ? secureRequest : request;
      req = send({ ...target, headers: headers as OutgoingHttpHeaders });
    } catch (err) {
      fail(codeOf(err as Error));
      return;
    }
    const clientRequest = req;
    const stopTimer = clock.after(connectTimeoutMs, () => {
      if (!isConnected) clientRequest.destroy(new Error('connect-timeout'));
    });
    const handleConnected = (): void => {
      isConnected = true;
      options.onConnected?.();
      stopTimer();
    };
    clientRequest.on('socket', (socket) => {
      socket.setNoDelay(true);
      const contentBytes = (): number =>
        (body?.receivedBytes() ?? 0) + (response?.readableLength ?? 0);
      const endCheck = limitOverhead(socket, contentBytes, () => {
        clientRequest.destroy(new Error('excess-bytes'));
      });
      clientRequest.once('close', endCheck);
      observeEnd(socket, clientRequest);
      if (socket.connecting) socket.once('connect', handleConnected);
      else handleConnected();
    });
    clientRequest.on('error', (err) => {
      stopTimer();
      hasFailed = true;
      fail(codeOf(err));
    });
    clientRequest.on('response', (res) => {
      observeBody(res);
      resolve({ outcome: 'head', res });
    });
    // Node.js reports a protocol switch that nobody asked for neither as a response nor as an error.
    clientRequest.once('close', () => {
      stopTimer();
      fail('closed');
      if (!response) endBody('broken');
    });
    settleAborted = () => {
      stopTimer();
      fail('aborted');
    };
    clientRequest.end(options.body);
  });

  const forwardBody = async (handler: BytesHandler): Promise<BodyEnd> => {
    body?.forwardTo(handler);
    const end = await bodyEnd;
    await body?.drained();
    return end;
  };

  return {
    head,
    forwardBody,
    readBody: async (maxBytes) => {
      const content = createByteBuffer();
      let isTooLarge = false;
      const end = await forwardBody((bytes) => {
        isTooLarge ||= content.length() + bytes.length > maxBytes;
        if (isTooLarge) response?.destroy();
        else content.append(bytes);
      });
      return end === 'whole' && !isTooLarge ? content.take() : undefined;
    },
    abort: () => {
      req?.destroy();
      settleAborted();
      endBody('broken');
      body?.close();
    },
  };
};
