/** Begins calls at their times, whether or not earlier ones have ended. */

import type { Clock } from '@plantaindrum/common';
import { systemClock } from '@plantaindrum/common';
import { createSignal } from '../signal.js';

/** A load under way. */
export interface OpenLoop<R> {
  /** Calls begun and not yet ended. */
  inFlight(): number;
  /** Resolves with every call's result, in the order of their ends, once the last has ended. */
  readonly finished: Promise<R[]>;
  /** Begins no more calls; those in flight go on. */
  stop(): void;
}

/** Starts a load of calls that are due `atMs` milliseconds after its start, in this order. */
export const startOpenLoop = <A extends { atMs: number }, R>(
  arrivals: readonly A[],
  send: (arrival: A) => Promise<R>,
  clock: Clock = systemClock,
): OpenLoop<R> => {
  const stopped = createSignal();
  const results: R[] = [];
  let inFlight = 0;
  let stopping = false;

  const begin = async (arrival: A): Promise<void> => {
    inFlight += 1;
    const result = await send(arrival);
    inFlight -= 1;
    results.push(result);
  };

  const untilDueOrStopped = async (waitMs: number): Promise<void> => {
    let stops: (() => void)[] = [];
    await new Promise<void>((resolve) => {
      stops = [clock.after(waitMs, resolve), stopped.listen(resolve)];
    });
    stops.forEach((stop) => stop());
  };

  const run = async (): Promise<R[]> => {
    const begun = clock.monotonic();
    const calls: Promise<void>[] = [];
    for (const arrival of arrivals) {
      const waitMs = begun + arrival.atMs - clock.monotonic();
      if (waitMs > 0) await untilDueOrStopped(waitMs);
      if (stopping) break;
      calls.push(begin(arrival));
    }
    await Promise.all(calls);
    return results;
  };

  return {
    inFlight: () => inFlight,
    finished: run(),
    stop: () => {
      stopping = true;
      stopped.notify();
    },
  };
};
