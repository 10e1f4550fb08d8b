import type { Clock } from '@plantaindrum/common';
import type { Log } from '@plantaindrum/service-clients';
import type { ClaimLogRecord } from './records.js';
import { CLAIMS_TOPIC } from './records.js';

/** Appends records that nobody waits for (ends and releases) until the log has them. */
export interface TailAppender {
  /** Resolves when the record has landed or is given up. */
  add(partition: number, record: ClaimLogRecord): Promise<void>;
  /** Resolves when all has landed, or after `ms` milliseconds. */
  flush(ms: number): Promise<void>;
  close(): void;
}

/** Settings of a tail appender. */
export interface TailAppenderOptions {
  clock: Clock;
  log: Log;
  /** A record this old is dropped: its key has left the window, in milliseconds. */
  lifeMs: number;
}

const FIRST_PAUSE_MS = 200;
const LONGEST_PAUSE_MS = 10_000;

/**
 * Creates the appender. Appending a record twice is harmless (replay takes the first), so every
 * failure is answered by another try. What is lost with the process costs only knowledge: the key
 * stays taken with an unknown outcome.
 */
export const createTailAppender = (options: TailAppenderOptions): TailAppender => {
  const { clock, log, lifeMs } = options;
  const waiters = new Set<() => void>();
  let pending = 0;
  let isClosed = false;

  const pause = (ms: number) =>
    new Promise<void>((resolve) => {
      clock.after(ms, resolve);
    });

  const done = () => {
    pending -= 1;
    if (pending === 0) waiters.forEach((resolve) => resolve());
  };

  const run = async (partition: number, record: ClaimLogRecord) => {
    const since = clock.monotonic();
    let pauseMs = FIRST_PAUSE_MS;
    while (!isClosed && clock.monotonic() - since < lifeMs) {
      const result = await log.append(CLAIMS_TOPIC, partition, [record]);
      if (result.ok) break;
      await pause(Math.max(pauseMs, result.err.retryAfterMs));
      pauseMs = Math.min(LONGEST_PAUSE_MS, pauseMs * 2);
    }
    done();
  };

  return {
    add: (partition, record) => {
      pending += 1;
      return run(partition, record);
    },
    flush: (ms) =>
      new Promise((resolve) => {
        if (pending === 0) {
          resolve();
          return;
        }
        waiters.add(resolve);
        clock.after(ms, resolve);
      }),
    close: () => {
      isClosed = true;
    },
  };
};
