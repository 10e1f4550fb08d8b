/** Structured log: one JSON object a line, bounded in rate and memory, never waiting for its reader. */

import type { Clock } from './clock.js';
import type { Metrics } from './metrics.js';

/** Values that a line may hold. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes what a process decided, believed or lost. */
export interface EventLog {
  /** One line: what happened, and the inputs that decided it. */
  event(name: string, fields?: EventFields): void;
  /** Hands over what is buffered; called before the process ends. */
  flush(): void;
}

/** Options of `createEventLog`. */
export interface EventLogOptions {
  /** Takes whole lines; false when its reader doesn't keep up, and the lines were not taken. */
  write: (lines: string) => boolean;
  /** Fields that every line carries, for example the node's name. */
  common: EventFields;
  clock: Clock;
  metrics: Metrics;
}

/** Lines a second that a process may write for long; ten times a busy entry's usual requests. */
const LINES_PER_SECOND = 300;
/** Lines that may come at once, so that the start of a fault is told in full. */
const BURST_LINES = 600;
/** Lines are collected this long, in ms: one system call for many lines. */
const FLUSH_MS = 100;

/**
 * Creates the structured log of a process. Lines over the rate are dropped and counted, and the
 * next line that goes out says how many: a fault that makes every request log would otherwise slow
 * the requests that still succeed.
 */
export const createEventLog = (options: EventLogOptions): EventLog => {
  const { write, common, clock, metrics } = options;
  let tokens = BURST_LINES;
  let refilledAt = clock.monotonic();
  let dropped = 0;
  let lines: string[] = [];
  let flushPlanned = false;

  const flush = (): void => {
    flushPlanned = false;
    if (lines.length === 0) return;
    const taken = write(`${lines.join('\n')}\n`);
    if (!taken) {
      dropped += lines.length;
      metrics.count('log_lines_dropped', { reason: 'reader-slow' }, lines.length);
    }
    lines = [];
  };

  const mayWrite = (): boolean => {
    const now = clock.monotonic();
    tokens = Math.min(BURST_LINES, tokens + ((now - refilledAt) / 1000) * LINES_PER_SECOND);
    refilledAt = now;
    if (tokens < 1) return false;
    tokens -= 1;
    return true;
  };

  const event = (name: string, fields: EventFields = {}): void => {
    if (!mayWrite()) {
      dropped += 1;
      metrics.count('log_lines_dropped', { reason: 'rate' });
      return;
    }
    const lost = dropped > 0 ? { droppedBefore: dropped } : {};
    dropped = 0;
    const at = Math.round(clock.monotonic());
    lines.push(JSON.stringify({ at, event: name, ...common, ...fields, ...lost }));
    if (flushPlanned) return;
    flushPlanned = true;
    clock.after(FLUSH_MS, flush);
  };

  return { event, flush };
};

/** A structured log that writes nothing. */
export const silentEventLog: EventLog = { event: () => {}, flush: () => {} };

/** Most bytes that may wait in the standard output before further lines are dropped. */
const STDOUT_WAITING_BYTES = 262_144;

/** Writes lines to standard output without waiting for whoever reads it. */
export const writeToStdout = (lines: string): boolean => {
  if (process.stdout.writableLength > STDOUT_WAITING_BYTES) return false;
  process.stdout.write(lines);
  return true;
};
