/** Connects to an upstream's address to see whether a process listens there. */

import { connect } from 'node:net';
import type { Clock } from '@plantaindrum/common';

/** Address of an upstream's process. */
export interface UpstreamAddress {
  /** Identifies the upstream; a later process at the same address has another one. */
  instance: string;
  host: string;
  port: number;
}

/** Result of connecting to an address; `silent` says nothing about the process there. */
export type ConnectOutcome = 'open' | 'refused' | 'silent';

/** Connects to an address, and closes the connection at once. `timeoutMs` is in milliseconds. */
export const tryConnect = (
  host: string,
  port: number,
  timeoutMs: number,
  clock: Clock,
): Promise<ConnectOutcome> =>
  new Promise((resolve) => {
    const socket = connect({ host, port });
    const finish = (outcome: ConnectOutcome): void => {
      resolve(outcome);
      socket.destroy();
    };
    const stopTimer = clock.after(timeoutMs, () => finish('silent'));
    socket.once('connect', () => {
      stopTimer();
      finish('open');
    });
    socket.once('error', (err: NodeJS.ErrnoException) => {
      stopTimer();
      finish(err.code === 'ECONNREFUSED' ? 'refused' : 'silent');
    });
  });
