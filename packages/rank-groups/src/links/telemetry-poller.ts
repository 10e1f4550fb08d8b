/**
 * Polls the telemetry of all ranks while this agent coordinates.
 *
 * If every rank sent its reports and counts by itself, the messages to the coordinator would grow
 * with the group until its link is full and none arrives in time. Polled along the tree, counts are
 * summed on the way, and the next poll waits for the answers of the last one, so the interval
 * follows the time that a poll takes.
 */

import { sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';
import type { GroupTelemetry } from '../tree/rank-port.js';
import type { RankReport } from '../types.js';

/** Polls telemetry until it is closed. */
export interface TelemetryPoller {
  /** Current time between two polls, in ms. */
  intervalMs(): number;
  close(): void;
}

/** Options of `createTelemetryPoller`. */
export interface TelemetryPollerOptions {
  /** Resolves once this agent coordinates; immediately if it already does. */
  whenCoordinating: () => Promise<void>;
  queryTelemetry: () => Promise<GroupTelemetry>;
  onReport: (report: RankReport) => void;
  onSelectionCounts: (selectionCounts: readonly number[]) => void;
  clock: Clock;
}

/** Minimum time between two polls, in ms: about one pass, so that a shift shows within two. */
const MIN_INTERVAL_MS = 80;
/**
 * Time between polls as a multiple of the time that a poll takes: links are then free for half of
 * the time.
 */
const INTERVAL_FACTOR = 2;
/** Maximum time between two polls, in ms: a shift goes unseen for that long. */
const MAX_INTERVAL_MS = 2_000;
/** Weight of the last poll in the moving average of the time that a poll takes. */
const EWMA_WEIGHT = 0.25;

/** Starts to poll; runs until `close`. */
export const createTelemetryPoller = (options: TelemetryPollerOptions): TelemetryPoller => {
  const { whenCoordinating, queryTelemetry, onReport, onSelectionCounts, clock } = options;
  let typicalMs = 0;
  let isClosed = false;

  const intervalMs = (): number =>
    Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, INTERVAL_FACTOR * typicalMs));

  const poll = async (): Promise<number> => {
    const startedAt = clock.monotonic();
    const { telemetry, answered, ranks } = await queryTelemetry();
    telemetry.reports.forEach(onReport);
    if (telemetry.picks.length > 0) onSelectionCounts(telemetry.picks);
    const elapsedMs = clock.monotonic() - startedAt;
    // When most ranks don't answer, links are full or lost, and the interval grows. A single silent
    // rank leaves it unchanged.
    if (2 * answered < ranks) typicalMs = Math.max(2 * typicalMs, elapsedMs);
    else if (answered === ranks) typicalMs += (elapsedMs - typicalMs) * EWMA_WEIGHT;
    return elapsedMs;
  };

  const run = async (): Promise<void> => {
    while (!isClosed) {
      await whenCoordinating();
      if (isClosed) return;
      const elapsedMs = await poll();
      await sleep(clock, Math.max(1, intervalMs() - elapsedMs));
    }
  };
  void run();

  return {
    intervalMs,
    close: () => {
      isClosed = true;
    },
  };
};
