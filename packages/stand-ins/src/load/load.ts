/** An open-loop load: calls are sent at their times, however late earlier answers are. */
import type { Clock } from '@plantaindrum/common';
import { systemClock } from '@plantaindrum/common';
import { createSignal } from '../signal.js';
import type { CallOutcome } from './answer-check.js';
import type { Arrival, LoadStream } from './plan.js';
import { planArrivals } from './plan.js';
import type { LoadReport } from './report.js';
import { createReportBuilder } from './report.js';
import type { CallResult } from './send.js';
import { createSender } from './send.js';

/** Options of a load. */
export interface LoadOptions {
  streams: LoadStream[];
  seed: number;
  durationMs: number;
  /** The entry that a call goes to; stands for the platform's balancer. */
  pickTarget: (arrival: Arrival) => string;
  /** A call without an answer for so long counts as lost. */
  timeoutMs?: number;
  clock?: Clock;
  onResult?: (result: CallResult) => void;
}

/** How far a load has come. */
export interface LoadProgress {
  sent: number;
  inFlight: number;
  outcomes: Record<CallOutcome, number>;
}

/** A running load. */
export interface Load {
  /** Resolves when the last call has ended. */
  readonly finished: Promise<CallResult[]>;
  progress(): LoadProgress;
  report(): LoadReport;
  /** Resolves when `holds` is true; checked as calls are sent and as they end. */
  waitFor(holds: (progress: LoadProgress) => boolean): Promise<void>;
  /** Sends nothing more; calls in flight go on. */
  stop(): void;
}

const DEFAULT_TIMEOUT_MS = 60_000;

/** Sends to the targets in turn; repeats of a call go to the next one. */
export const inTurn =
  (targets: string[]): LoadOptions['pickTarget'] =>
  (arrival) =>
    targets[arrival.index % targets.length] ?? '';

/** Starts a load. */
export const startLoad = (options: LoadOptions): Load => {
  const { clock = systemClock, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  const arrivals = planArrivals(options.streams, options.seed, options.durationMs);
  const sender = createSender(clock, timeoutMs);
  const builder = createReportBuilder();
  const progressed = createSignal();
  const results: CallResult[] = [];
  const stopped = createSignal();
  let inFlight = 0;
  let stopping = false;

  const progress = (): LoadProgress => ({
    sent: results.length + inFlight,
    inFlight,
    outcomes: builder.outcomes(),
  });

  const send = async (arrival: Arrival): Promise<void> => {
    inFlight += 1;
    progressed.notify();
    const result = await sender.send(options.pickTarget(arrival), arrival);
    inFlight -= 1;
    results.push(result);
    builder.add(result);
    options.onResult?.(result);
    progressed.notify();
  };

  const until = async (waitMs: number): Promise<void> => {
    let stops: (() => void)[] = [];
    await new Promise<void>((resolve) => {
      stops = [clock.after(waitMs, resolve), stopped.listen(resolve)];
    });
    stops.forEach((stop) => stop());
  };

  const run = async (): Promise<CallResult[]> => {
    const begun = clock.monotonic();
    const calls: Promise<void>[] = [];
    for (const arrival of arrivals) {
      const waitMs = begun + arrival.atMs - clock.monotonic();
      if (waitMs > 0) await until(waitMs);
      if (stopping) break;
      calls.push(send(arrival));
    }
    await Promise.all(calls);
    await sender.close();
    return results;
  };

  return {
    finished: run(),
    progress,
    report: () => builder.report(inFlight),
    waitFor: async (holds) => {
      while (!holds(progress())) await progressed.wait();
    },
    stop: () => {
      stopping = true;
      stopped.notify();
    },
  };
};
