import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { Random } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';
import type { Connection } from './connection.js';
import { createConnection } from './connection.js';
import type { LinkOptions } from './options.js';
import type { Link, LinkCloseReason } from './types.js';

/** Delays between attempts to connect, in milliseconds. */
export interface Backoff {
  firstMs: number;
  maxMs: number;
}

/** Default backoff; reaches its longest delay after six failures. */
export const defaultBackoff: Backoff = { firstMs: 100, maxMs: 5_000 };

/** Options of a link client. */
export interface LinkClientOptions extends LinkOptions {
  /** The peer's link address. */
  connect: { host: string; port: number };
  backoff: Backoff;
  random: Random;
  /** Called when an attempt to connect has failed or a link has closed. */
  onDown?: (reason: LinkCloseReason) => void;
}

/** Keeps one peer connected until it is closed. */
export interface LinkClient {
  /** The current link, if there is one. */
  link(): Link | undefined;
  /** Stops reconnecting and closes the link once its sent frames are flushed. */
  close(): Promise<void>;
}

/**
 * Upper bound of the delay before the next attempt, doubled with each failure. The delay itself is
 * uniformly random between zero and this bound ("full jitter"), so that the peers of a returning
 * data centre reconnect spread over the interval and not all at once.
 */
export const backoffCeiling = ({ firstMs, maxMs }: Backoff, failures: number): number =>
  Math.min(maxMs, firstMs * 2 ** Math.min(failures, 30));

/** Starts keeping a peer connected; each connection is a new link, passed to `onLink`. */
export const createLinkClient = (options: LinkClientOptions): LinkClient => {
  const { clock, metrics, random, backoff } = options;
  const pause = createPause(clock);
  let current: Link | undefined;
  let connection: Connection | undefined;
  let connecting: Socket | undefined;
  let stopped = false;
  let failures = 0;

  const linkOptions: LinkOptions = {
    ...options,
    onLink: (link) => {
      current = link;
      failures = 0;
      return options.onLink(link);
    },
  };

  const openSocket = (): Promise<Socket | undefined> =>
    new Promise((resolve) => {
      const socket = connect(options.connect.port, options.connect.host);
      connecting = socket;
      const stopTimer = clock.after(options.limits.helloTimeoutMs, () => socket.destroy());
      socket.on('error', () => {});
      socket.once('close', () => resolve(undefined));
      socket.once('connect', () => {
        stopTimer();
        resolve(socket);
      });
      socket.once('close', stopTimer);
    });

  const connectOnce = async (): Promise<LinkCloseReason> => {
    const socket = await openSocket();
    connecting = undefined;
    if (!socket) {
      metrics.count('link_connect_failed');
      return 'connect-failed';
    }
    connection = createConnection(socket, linkOptions);
    if (stopped) connection.close();
    const reason = await connection.run();
    connection = undefined;
    current = undefined;
    return reason;
  };

  const keepConnected = async (): Promise<void> => {
    while (!stopped) {
      const reason = await connectOnce();
      options.onDown?.(reason);
      if (stopped) return;
      metrics.count('link_reconnect', { reason });
      await pause.wait(random() * backoffCeiling(backoff, failures));
      failures += 1;
    }
  };

  const reconnectLoop = keepConnected();

  return {
    link: () => current,
    close: async () => {
      stopped = true;
      pause.end();
      connecting?.destroy();
      connection?.close();
      await reconnectLoop;
    },
  };
};
