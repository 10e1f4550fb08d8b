/** Follows the intent topic of the log. */

import type { Clock, Metrics, Random } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';
import type { Log, LogRecord } from '@plantaindrum/service-clients';
import type { FreshnessTracker } from './freshness.js';
import type { IntentReplica } from './replica.js';

/** Topic and partition of the operators' intent. */
export const INTENT_TOPIC = 'plantaindrum.intent';
/** The only partition of the intent topic, so that offsets order all its records. */
export const INTENT_PARTITION = 0;

/** Options of `startLogFollower`. */
export interface LogFollowerOptions {
  log: Log;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  replica: IntentReplica;
  freshness: FreshnessTracker;
  /** Called with the records of each read. */
  applyRecords: (records: LogRecord[]) => void;
  /** Long-poll wait of a read, in milliseconds. */
  readWaitMs: number;
  /** Longest retry delay while the log is down, in milliseconds. */
  maxRetryDelayMs: number;
  /** False while peers keep this node up to date, so that the log need not be read. */
  isNeeded: () => boolean;
}

/** Base of the retry delay, in milliseconds; it doubles with each failure. */
const RETRY_DELAY_MS = 50;

/** A running follower. */
export interface LogFollower {
  /** Ends a pending retry delay. */
  retryNow(): void;
  close(): void;
}

/** Starts following the log. */
export const startLogFollower = (options: LogFollowerOptions): LogFollower => {
  const { log, clock, random, metrics, replica, freshness } = options;
  const pause = createPause(clock);
  let closed = false;
  let failures = 0;
  let rangeKnown = false;
  let knownEnd = { end: 0, at: 0 };

  /** Whether the log was restored to an older state. A node never goes back, so it keeps what it has. */
  const isBehindReplica = (end: number): boolean => end - 1 < replica.aggregate().offset();

  const confirmIfAtEnd = (): void => {
    if (replica.isScanning() || replica.aggregate().offset() < knownEnd.end - 1) return;
    freshness.confirm(knownEnd.at);
  };

  const fetchRange = async (): Promise<boolean> => {
    const requestedAt = clock.monotonic();
    const range = await log.offsets(INTENT_TOPIC, INTENT_PARTITION);
    freshness.recordLogCall(range.ok);
    if (!range.ok) return false;
    const { beginning, end } = range.value;
    if (isBehindReplica(end)) {
      metrics.count('intent_log_behind');
      return false;
    }
    rangeKnown = true;
    freshness.recordLogEnd(end);
    knownEnd = { end, at: requestedAt };
    if (beginning > replica.nextLogOffset()) {
      metrics.count('intent_records_expired');
      replica.startScan(beginning);
    }
    confirmIfAtEnd();
    return true;
  };

  const handleRead = (records: LogRecord[], from: number, requestedAt: number): void => {
    const first = records[0];
    if (first && first.offset > from) {
      // The log has deleted the records in between, as with an out-of-range answer.
      rangeKnown = false;
      return;
    }
    options.applyRecords(records);
    confirmIfAtEnd();
    if (records.length > 0 || replica.isScanning()) return;
    // An empty answer comes only after the long-poll wait, so it was true at its end.
    freshness.confirm(Math.min(clock.monotonic(), requestedAt + options.readWaitMs));
  };

  const readOnce = async (): Promise<boolean> => {
    if (!rangeKnown && !(await fetchRange())) return false;
    const from = replica.nextLogOffset();
    const requestedAt = clock.monotonic();
    const read = await log.read(INTENT_TOPIC, INTENT_PARTITION, from, options.readWaitMs);
    if (closed) return false;
    if (!read.ok) rangeKnown = false;
    freshness.recordLogCall(read.ok || read.err.kind === 'out-of-range');
    if (!read.ok) {
      metrics.count('intent_log_read_failed', { kind: read.err.kind });
      return false;
    }
    handleRead(read.value, from, requestedAt);
    return true;
  };

  const follow = async (): Promise<void> => {
    while (!closed) {
      if (!options.isNeeded()) {
        await pause.wait(options.readWaitMs);
        continue;
      }
      const succeeded = await readOnce();
      failures = succeeded ? 0 : failures + 1;
      freshness.reportStateChange();
      const maxDelayMs = Math.min(
        options.maxRetryDelayMs,
        RETRY_DELAY_MS * 2 ** Math.min(failures, 20),
      );
      if (!succeeded && !closed) await pause.wait(random() * maxDelayMs);
    }
  };

  void follow();

  return {
    retryNow: () => pause.end(),
    close: () => {
      closed = true;
      pause.end();
    },
  };
};
