/** A planned load: sends its calls, checks the answers and counts what came of them. */
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
  const finish = async (): Promise<CallResult[]> => {
    const results = await loop.finished;
    await sender.close();
    return results;
  };

  return {
    finished: finish(),
    progress,
    report: () => builder.report(sent - ended),
    waitFor: async (holds) => {
      while (!holds(progress())) await progressed.wait();
    },
    stop: loop.stop,
  };
};
