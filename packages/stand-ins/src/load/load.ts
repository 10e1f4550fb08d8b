/** Runs a planned load: sends its calls, checks the responses and counts the outcomes. */
import type { Clock } from '@plantaindrum/common';
import { systemClock } from '@plantaindrum/common';
import { createSignal } from '../signal.js';
import type { CallOutcome } from './answer-check.js';
import { startOpenLoop } from './open-loop.js';
import type { Arrival, LoadStream } from './plan.js';
import { planArrivals } from './plan.js';
import type { LoadReport } from './report.js';
import { createReportBuilder } from './report.js';
import type { CallResult } from './send.js';
import { createSender } from './send.js';

/** Options of `startLoad`. */
export interface LoadOptions {
  streams: LoadStream[];
  seed: number;
  durationMs: number;
  /** Selects the entry that a call is sent to, as the platform's load balancer does. */
  pickTarget: (arrival: Arrival) => string;
  /** Timeout for response headers and between chunks of a body; the call then counts as lost. */
  timeoutMs?: number;
  clock?: Clock;
  onResult?: (result: CallResult) => void;
}

/** Progress of a load. */
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
  /** Resolves when `predicate` returns true; checked whenever a call is sent or ends. */
  waitFor(predicate: (progress: LoadProgress) => boolean): Promise<void>;
  /** Sends no further calls; calls in flight continue. */
  stop(): void;
}

const DEFAULT_TIMEOUT_MS = 60_000;

/** Selects the targets round-robin, so that a repeat of a call goes to the next target. */
export const roundRobin =
  (targets: string[]): LoadOptions['pickTarget'] =>
  (arrival) =>
    targets[arrival.index % targets.length] ?? '';

/** Plans a load and starts to send it. */
export const startLoad = (options: LoadOptions): Load => {
  const { clock = systemClock, timeoutMs = DEFAULT_TIMEOUT_MS } = options;
  const arrivals = planArrivals(options.streams, options.seed, options.durationMs);
  const sender = createSender(clock, timeoutMs);
  const builder = createReportBuilder();
  const progressed = createSignal();
  let sent = 0;
  let ended = 0;

  const progress = (): LoadProgress => ({
    sent,
    inFlight: sent - ended,
    outcomes: builder.outcomes(),
  });

  const send = async (arrival: Arrival): Promise<CallResult> => {
    sent += 1;
    progressed.notify();
    const result = await sender.send(options.pickTarget(arrival), arrival);
    ended += 1;
    builder.add(result);
    options.onResult?.(result);
    progressed.notify();
    return result;
  };

  const loop = startOpenLoop(arrivals, send, clock);
  const finishLoad = async (): Promise<CallResult[]> => {
    const results = await loop.finished;
    await sender.close();
    return results;
  };

  return {
    finished: finishLoad(),
    progress,
    report: () => builder.report(sent - ended),
    waitFor: async (predicate) => {
      while (!predicate(progress())) await progressed.wait();
    },
    stop: loop.stop,
  };
};
