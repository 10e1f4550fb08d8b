/**
 * Open-loop load generator: starts calls at their planned times, whether or not earlier ones ended.
 */

import type { Clock } from '@plantaindrum/common';
import { systemClock } from '@plantaindrum/common';
import { createSignal } from '../signal.js';

/** A running open-loop load. */
export interface OpenLoop<R> {
  /** Number of calls started and not yet ended. */
  inFlight(): number;
  /**
   * Resolves with the results of all calls, in order of completion, once the last one has ended.
   */
  readonly finished: Promise<R[]>;
  /** Starts no further calls; those in flight continue. */
  stop(): void;
}

/**
 * Starts a load; each call is due `atMs` milliseconds after the start, sorted in ascending order.
 */
export const startOpenLoop = <A extends { atMs: number }, R>(
  arrivals: readonly A[],
  send: (arrival: A) => Promise<R>,
  clock: Clock = systemClock,
): OpenLoop<R> => {
  const stopped = createSignal();
  const results: R[] = [];
  let inFlight = 0;
  let isStopped = false;

  const startCall = async (arrival: A): Promise<void> => {
    inFlight += 1;
    const result = await send(arrival);
    inFlight -= 1;
    results.push(result);
  };

  const waitUntilDueOrStopped = async (waitMs: number): Promise<void> => {
    let cancels: (() => void)[] = [];
    await new Promise<void>((resolve) => {
      cancels = [clock.after(waitMs, resolve), stopped.listen(resolve)];
    });
    cancels.forEach((stop) => stop());
  };

  const run = async (): Promise<R[]> => {
    const startedAt = clock.monotonic();
    const calls: Promise<void>[] = [];
    for (const arrival of arrivals) {
      const waitMs = startedAt + arrival.atMs - clock.monotonic();
      if (waitMs > 0) await waitUntilDueOrStopped(waitMs);
      if (isStopped) break;
      calls.push(startCall(arrival));
    }
    await Promise.all(calls);
    return results;
  };

  return {
    inFlight: () => inFlight,
    finished: run(),
    stop: () => {
      isStopped = true;
      stopped.notify();
    },
  };
};
