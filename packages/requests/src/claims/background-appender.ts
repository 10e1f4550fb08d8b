import type { Clock } from '@plantaindrum/common';
import type { Log } from '@plantaindrum/service-clients';
import type { ClaimLogRecord } from './records.js';
import { CLAIMS_TOPIC } from './records.js';

/** Appends finish and release records in the background, with retries. */
export interface BackgroundAppender {
  /** Resolves when the record is appended or dropped. */
  add(partition: number, record: ClaimLogRecord): Promise<void>;
  /** Resolves when no record is pending, or after `ms` milliseconds. */
  flush(ms: number): Promise<void>;
  /** Stops retrying. */
  close(): void;
}

/** Settings of a background appender. */
export interface BackgroundAppenderOptions {
  clock: Clock;
  log: Log;
  /** Age at which a record is dropped because its key has expired, in milliseconds. */
  maxAgeMs: number;
}

const FIRST_RETRY_DELAY_MS = 200;
const MAX_RETRY_DELAY_MS = 10_000;

/**
 * Creates the appender. Appending a record twice is harmless, as replay uses the first, so every
 * failure is retried. Records that are lost with the process leave their keys held with an unknown
 * outcome.
 */
export const createBackgroundAppender = (
  options: BackgroundAppenderOptions,
): BackgroundAppender => {
  const { clock, log, maxAgeMs } = options;
  const flushWaiters = new Set<() => void>();
  let pending = 0;
  let isClosed = false;

  const delay = (ms: number) =>
    new Promise<void>((resolve) => {
      clock.after(ms, resolve);
    });

  const recordDone = () => {
    pending -= 1;
    if (pending === 0) flushWaiters.forEach((resolve) => resolve());
  };

  const appendUntilDone = async (partition: number, record: ClaimLogRecord) => {
    const addedAt = clock.monotonic();
    let retryDelayMs = FIRST_RETRY_DELAY_MS;
    while (!isClosed && clock.monotonic() - addedAt < maxAgeMs) {
      const result = await log.append(CLAIMS_TOPIC, partition, [record]);
      if (result.ok) break;
      await delay(Math.max(retryDelayMs, result.err.retryAfterMs));
      retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, retryDelayMs * 2);
    }
    recordDone();
  };

  return {
    add: (partition, record) => {
      pending += 1;
      return appendUntilDone(partition, record);
    },
    flush: (ms) =>
      new Promise((resolve) => {
        if (pending === 0) {
          resolve();
          return;
        }
        flushWaiters.add(resolve);
        clock.after(ms, resolve);
      }),
    close: () => {
      isClosed = true;
    },
  };
};
