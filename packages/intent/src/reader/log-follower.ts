/** The task that follows the intent topic of the log. */

import type { Clock, Metrics, Random } from '@plantaindrum/common';
import { createPause } from '@plantaindrum/common';
import type { Log, LogRecord } from '@plantaindrum/service-clients';
import type { FreshnessTracker } from './freshness.js';
import type { IntentReplica } from './replica.js';

/** Topic and partition of the operators' intent. */
export const INTENT_TOPIC = 'plantaindrum.intent';
/** The intent topic has one partition, so that its offsets are one total order. */
export const INTENT_PARTITION = 0;

/** What the task works on. */
export interface LogFollowerOptions {
  log: Log;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  replica: IntentReplica;
  freshness: FreshnessTracker;
  /** Takes records that were read. */
  take: (records: LogRecord[]) => void;
  /** Long-poll wait of a read, in milliseconds. */
  readWaitMs: number;
  /** Longest wait between tries while the log is down, in milliseconds. */
  retryMaxMs: number;
  /** False while peers keep this node up to date and the log need not be asked. */
  isNeeded: () => boolean;
}

const RETRY_FIRST_MS = 50;

/** A running follower. */
export interface LogFollower {
  /** Ends a wait between tries at once. */
  wake(): void;
  close(): void;
}

/** Starts following the log. */
export const startLogFollower = (options: LogFollowerOptions): LogFollower => {
  const { log, clock, random, metrics, replica, freshness } = options;
  const pause = createPause(clock);
  let closed = false;
  let failures = 0;
  let rangeKnown = false;
  let endSeen = { end: 0, at: 0 };

  /** The log was restored to an older state; a node never goes back, so it holds what it has. */
  const isBehindUs = (end: number): boolean => end - 1 < replica.aggregate().offset();

  const confirmIfAtEnd = (): void => {
    if (replica.scanning() || replica.aggregate().offset() < endSeen.end - 1) return;
    freshness.confirm(endSeen.at);
  };

  const learnRange = async (): Promise<boolean> => {
    const asked = clock.monotonic();
    const range = await log.offsets(INTENT_TOPIC, INTENT_PARTITION);
    freshness.logReached(range.ok);
    if (!range.ok) return false;
    const { beginning, end } = range.value;
    if (isBehindUs(end)) {
      metrics.count('intent_log_behind');
      return false;
    }
    rangeKnown = true;
    freshness.logEnds(end);
    endSeen = { end, at: asked };
    if (beginning > replica.nextFromLog()) {
      metrics.count('intent_records_expired');
      replica.startScan(beginning);
    }
    confirmIfAtEnd();
    return true;
  };

  const takeRead = (records: LogRecord[], from: number, asked: number): void => {
    const first = records[0];
    if (first && first.offset > from) {
      // The records in between are gone, just as after an out-of-range answer.
      rangeKnown = false;
      return;
    }
    options.take(records);
    confirmIfAtEnd();
    if (records.length > 0 || replica.scanning()) return;
    // The service has waited this long before it answered "none", so it looked no earlier.
    freshness.confirm(Math.min(clock.monotonic(), asked + options.readWaitMs));
  };

  const readOnce = async (): Promise<boolean> => {
    if (!rangeKnown && !(await learnRange())) return false;
    const from = replica.nextFromLog();
    const asked = clock.monotonic();
    const read = await log.read(INTENT_TOPIC, INTENT_PARTITION, from, options.readWaitMs);
    if (closed) return false;
    if (!read.ok) rangeKnown = false;
    freshness.logReached(read.ok || read.err.kind === 'out-of-range');
    if (!read.ok) {
      metrics.count('intent_log_read_failed', { kind: read.err.kind });
      return false;
    }
    takeRead(read.value, from, asked);
    return true;
  };

  const follow = async (): Promise<void> => {
    while (!closed) {
      if (!options.isNeeded()) {
        await pause.wait(options.readWaitMs);
        continue;
      }
      const worked = await readOnce();
      failures = worked ? 0 : failures + 1;
      freshness.review();
      const ceiling = Math.min(options.retryMaxMs, RETRY_FIRST_MS * 2 ** Math.min(failures, 20));
      if (!worked && !closed) await pause.wait(random() * ceiling);
    }
  };

  void follow();

  return {
    wake: () => pause.end(),
    close: () => {
      closed = true;
      pause.end();
    },
  };
};
