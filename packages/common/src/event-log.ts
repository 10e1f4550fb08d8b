/** Structured log: one JSON object per line, bounded in rate and memory; it never blocks on its reader. */

import type { Clock } from './clock.js';
import type { Metrics } from './metrics.js';

/** Fields of one log line. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Log of the events and decisions of a process. */
export interface EventLog {
  /** Writes one line: the event and the values that led to it. */
  event(name: string, fields?: EventFields): void;
  /** Writes the buffered lines; called before the process exits. */
  flush(): void;
}

/** Options of `createEventLog`. */
export interface EventLogOptions {
  /** Writes complete lines; returns false if the reader is too slow and the lines were discarded. */
  write: (lines: string) => boolean;
  /** Fields added to every line, for example the node's name. */
  common: EventFields;
  clock: Clock;
  metrics: Metrics;
}

/** Sustained rate, in lines per second: ten times the usual request rate of a busy entry. */
const MAX_LINES_PER_SECOND = 300;
/** Lines allowed in a burst, so that the start of a fault is logged in full. */
const MAX_BURST_LINES = 600;
/** Time for which lines are buffered, in ms, so that one system call writes many lines. */
const FLUSH_DELAY_MS = 100;

/**
 * Creates the structured log of a process. Lines over the rate are dropped and counted, and the next line
 * that is written reports their number. Without the limit, a fault that makes every request log would slow
 * down the requests that still succeed.
 */
export const createEventLog = (options: EventLogOptions): EventLog => {
  const { write, common, clock, metrics } = options;
  let tokens = MAX_BURST_LINES;
  let refilledAt = clock.monotonic();
  let dropped = 0;
  let lines: string[] = [];
  let isFlushScheduled = false;

  const flush = (): void => {
    isFlushScheduled = false;
    if (lines.length === 0) return;
    const accepted = write(`${lines.join('\n')}\n`);
    if (!accepted) {
      dropped += lines.length;
      metrics.count('log_lines_dropped', { reason: 'reader-slow' }, lines.length);
    }
    lines = [];
  };

  const tryTakeToken = (): boolean => {
    const now = clock.monotonic();
    tokens = Math.min(MAX_BURST_LINES, tokens + ((now - refilledAt) / 1000) * MAX_LINES_PER_SECOND);
    refilledAt = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };

  const event = (name: string, fields: EventFields = {}): void => {
    if (!tryTakeToken()) {
      dropped += 1;
      metrics.count('log_lines_dropped', { reason: 'rate' });
      return;
    }
    const droppedField = dropped > 0 ? { droppedBefore: dropped } : {};
    dropped = 0;
    const at = Math.round(clock.monotonic());
    lines.push(JSON.stringify({ at, event: name, ...common, ...fields, ...droppedField }));
    if (isFlushScheduled) return;
    isFlushScheduled = true;
    clock.after(FLUSH_DELAY_MS, flush);
  };

  return { event, flush };
};

/** A structured log that discards every event. */
export const silentEventLog: EventLog = { event: () => {}, flush: () => {} };

/** Buffered bytes of standard output above which further lines are dropped. */
const MAX_STDOUT_BUFFER_BYTES = 262_144;

/** Writes lines to standard output without blocking on its reader; false if they were dropped. */
export const writeToStdout = (lines: string): boolean => {
  if (process.stdout.writableLength > MAX_STDOUT_BUFFER_BYTES) return false;
  process.stdout.write(lines);
  return true;
};
