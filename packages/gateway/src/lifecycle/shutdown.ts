/** Shuts an entry down without cutting off requests, as far as the grace period allows. */

import { sleep } from '@plantaindrum/common';
import type { Clock, EventLog } from '@plantaindrum/common';
import type { Lifecycle } from './lifecycle.js';

/** Options of `shutDown`. */
export interface ShutdownOptions {
  /** Time until the process is killed, in milliseconds. */
  graceMs: number;
  lifecycle: Lifecycle;
  openRequests: () => number;
  /** Called when no new requests are accepted any more. */
  stopListening: () => void;
  /** Closes all parts of the entry. */
  closeAll: () => void;
  clock: Clock;
  log: EventLog;
}

/** After the stop signal the load balancer still sends new connections for two probe intervals, in ms. */
const LISTEN_AFTER_STOP_MS = 3_200;
/** Part of the grace period that is reserved for ending open requests and an orderly exit, in ms. */
const MAX_SHUTDOWN_RESERVE_MS = 300;
/** The same as a fraction of a short grace period. */
const SHUTDOWN_RESERVE_FRACTION = 1 / 12;
/** How often a stopping entry checks whether all requests have ended, in ms. */
const IDLE_CHECK_INTERVAL_MS = 50;
/** The same while the last responses are being sent, in ms. */
const FLUSH_CHECK_INTERVAL_MS = 5;

/** Resolves when no request is in flight or the grace period is over, and all parts are closed. */
export const shutDown = async (options: ShutdownOptions): Promise<void> => {
  const { graceMs, lifecycle, openRequests, clock, log } = options;
  const reserveMs = Math.min(MAX_SHUTDOWN_RESERVE_MS, graceMs * SHUTDOWN_RESERVE_FRACTION);
  const exitAt = clock.monotonic() + graceMs - reserveMs;

  const waitUntilIdle = async (until: number, intervalMs: number): Promise<void> => {
    for (let left = until - clock.monotonic(); left > 0; left = until - clock.monotonic()) {
      if (openRequests() === 0) return;
      await sleep(clock, Math.min(intervalMs, left));
    }
  };

  log.event('stopping', { open: openRequests(), graceMs });
  lifecycle.stop(exitAt);
  await sleep(clock, Math.min(LISTEN_AFTER_STOP_MS, graceMs / 2));
  lifecycle.enter('closing');
  options.stopListening();
  await waitUntilIdle(exitAt, IDLE_CHECK_INTERVAL_MS);
  const cut = openRequests();
  lifecycle.enter('exiting');
  await waitUntilIdle(exitAt + reserveMs / 2, FLUSH_CHECK_INTERVAL_MS);
  log.event('stopped', { cut });
  options.closeAll();
  log.flush();
};
