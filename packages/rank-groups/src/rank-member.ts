/**
 * The agent's interface to its own engine: reads its state and selection counts, and forwards
 * orders to it.
 */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type {
  ExpertCounts,
  OrderOutcome,
  RankEngine,
  RankOrder,
  RankPlacement,
  RankReport,
} from './types.js';

/** A group's member: one rank with its engine. */
export interface RankMember {
  /** The latest report; undefined before the first. */
  lastReport(): RankReport | undefined;
  /** Reads a report from the engine now. */
  report(): Promise<RankReport | undefined>;
  /**
   * Returns a report for the coordinator's telemetry polls: the latest one if it is recent enough,
   * otherwise one that is read now. If the engine does not answer, a slightly older report is
   * returned, or none.
   */
  telemetryReport(): Promise<RankReport | undefined>;
  /**
   * Selection counts of each expert since the last call; none on the first call or after a long
   * pause.
   */
  takeSelectionCounts(): Promise<number[]>;
  /** Waits until the engine has prepared a version; false when it has not within `timeoutMs`. */
  awaitPrepared(version: number, timeoutMs: number): Promise<boolean>;
  order(order: RankOrder): Promise<OrderOutcome>;
  placement(): Promise<RankPlacement | undefined>;
  close(): void;
}

/** Options of `createRankMember`. */
export interface RankMemberOptions {
  engine: RankEngine;
  /** Called with each periodic reading of the engine. */
  onReport: (report: RankReport) => void;
  /** Whether the engine is read once a pass even while a coordinator polls this agent. */
  needsFreshReports: () => boolean;
  /**
   * Whether the opening of the group has to be known at once, for which the engine is read more
   * often while the group is closed or the engine does not answer. Default: never.
   */
  needsOpeningAtOnce?: () => boolean;
  /**
   * Whether telemetry of a closed group is read anew at each poll, as the coordinator waits until
   * all ranks report the opening. Default: a recent report is returned.
   */
  rereadsClosed?: () => boolean;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/**
 * Time between readings of the engine, in ms: about one pass, so that a shift shows within two
 * passes.
 */
const READ_INTERVAL_MS = 80;
/**
 * Maximum time between readings while a coordinator polls this agent, in ms. Every poll of its half, usually each 160 ms,
 * reads the engine; when polls are slower, a slowdown must still reach the entries within 300 ms.
 */
const POLLED_READ_INTERVAL_MS = 240;
/**
 * Time between readings of a closed group, in ms, at agents that report its opening or coordinate:
 * callers wait for it, and the first pass begins right after it.
 */
const CLOSED_READ_INTERVAL_MS = 50;
/**
 * Maximum age of a report that answers a telemetry poll, in ms: two passes. Selection counts are
 * read at each poll.
 */
const MAX_TELEMETRY_AGE_MS = 150;
/** A coordinator that has not polled for this long may be lost, in ms. */
const POLL_TIMEOUT_MS = 1_000;
/** Time between readings while a change waits for the engine to copy experts, in ms. */
const COPY_CHECK_INTERVAL_MS = 15;
/** Pause before an engine that does not answer is read again, in ms. */
const ENGINE_RETRY_DELAY_MS = 500;
/** The same at agents that need the opening at once, in ms. */
const URGENT_ENGINE_RETRY_DELAY_MS = 100;
/**
 * Maximum age of a report that is returned when the engine does not answer, in ms: four readings
 * and one slow one.
 */
const MAX_FALLBACK_AGE_MS = 400;
/**
 * Counts that cover more time than this are dropped because they describe earlier popularity, in
 * ms.
 */
const MAX_COUNTING_PERIOD_MS = 2_000;

/** Counts between two readings. An engine that has restarted counts from zero. */
const countsBetween = (before: ExpertCounts, now: ExpertCounts): number[] => {
  const hasRestarted =
    now.startedAt > before.startedAt || now.counts.some((n, at) => n < (before.counts[at] ?? 0));
  return hasRestarted ? [...now.counts] : now.counts.map((n, at) => n - (before.counts[at] ?? 0));
};

/** Starts to read the engine; runs until `close`. */
export const createRankMember = (options: RankMemberOptions): RankMember => {
  const { engine, onReport, needsFreshReports, clock, metrics, log } = options;
  const rereadsClosed = options.rereadsClosed ?? (() => false);
  const needsOpeningAtOnce = options.needsOpeningAtOnce ?? (() => false);
  let polledAt = -Infinity;
  let latest: { report: RankReport; at: number } | undefined;
  /** Time of the last reading passed to `onReport`; readings made for a change don't count. */
  let reportedAt = -Infinity;
  let lastCounts: { counts: ExpertCounts; at: number } | undefined;
  let pendingRead: Promise<unknown> = Promise.resolve();
  let stopped = false;

  const recordReport = (report: RankReport): void => {
    const previous = latest?.report;
    if (previous && previous.startedAt < report.startedAt) {
      log.event('engine-started-again', { rank: report.rank, startedAt: report.startedAt });
    }
    if (previous?.epoch !== report.epoch || previous.isOpen !== report.isOpen) {
      const { group, epoch, rank, isOpen, map } = report;
      log.event('rank-state', { group, epoch, rank, isOpen, map });
    }
    latest = { report, at: clock.monotonic() };
  };

  const readSelectionCounts = async (): Promise<number[]> => {
    const reading = await engine.counts();
    if (!reading) return [];
    const previous = lastCounts;
    lastCounts = { counts: reading, at: clock.monotonic() };
    // The first reading covers the engine's whole lifetime and says nothing about current
    // popularity.
    const isUsable = previous && lastCounts.at - previous.at < MAX_COUNTING_PERIOD_MS;
    return isUsable ? countsBetween(previous.counts, reading) : [];
  };

  const readNow = async (): Promise<RankReport | undefined> => {
    const report = await engine.report();
    if (report) recordReport(report);
    return report;
  };

  const readAndReport = async (): Promise<RankReport | undefined> => {
    const report = await readNow();
    if (!report) {
      metrics.count('rank_engine_silent');
      return undefined;
    }
    reportedAt = clock.monotonic();
    onReport(report);
    return report;
  };

  const readIntervalMs = (): number => {
    if (latest?.report.isOpen === false && needsOpeningAtOnce()) return CLOSED_READ_INTERVAL_MS;
    const isPolled = clock.monotonic() - polledAt < POLL_TIMEOUT_MS;
    return isPolled && !needsFreshReports() ? POLLED_READ_INTERVAL_MS : READ_INTERVAL_MS;
  };

  const retryDelayMs = (): number =>
    needsOpeningAtOnce() ? URGENT_ENGINE_RETRY_DELAY_MS : ENGINE_RETRY_DELAY_MS;

  const run = async (): Promise<void> => {
    while (!stopped) {
      const waitMs = reportedAt + readIntervalMs() - clock.monotonic();
      if (waitMs > 0) await sleep(clock, waitMs);
      else if (!(await readAndReport())) await sleep(clock, retryDelayMs());
    }
  };
  void run();

  const reportWithin = (ms: number): RankReport | undefined =>
    latest && clock.monotonic() - latest.at < ms ? latest.report : undefined;

  const recentReport = (): RankReport | undefined => {
    const report = reportWithin(MAX_TELEMETRY_AGE_MS);
    return report?.isOpen === false && rereadsClosed() ? undefined : report;
  };

  return {
    lastReport: () => latest?.report,
    report: readNow,
    telemetryReport: async () => {
      polledAt = clock.monotonic();
      return recentReport() ?? (await readAndReport()) ?? reportWithin(MAX_FALLBACK_AGE_MS);
    },
    // Readings are sequential. If an older one came in last, the engine would seem to have
    // restarted, and all of its counts would be taken for new ones.
    takeSelectionCounts: () => {
      const reading = pendingRead.then(readSelectionCounts);
      pendingRead = reading;
      return reading;
    },
    awaitPrepared: async (version, timeoutMs) => {
      for (const until = clock.monotonic() + timeoutMs; ;) {
        if ((await readNow())?.prepared === version) return true;
        if (clock.monotonic() > until) return false;
        await sleep(clock, COPY_CHECK_INTERVAL_MS);
      }
    },
    order: async (order) => {
      const outcome = await engine.order(order);
      metrics.count('rank_orders', { op: order.op, outcome });
      if (outcome !== 'done') {
        const { op, epoch } = order;
        log.event('order-not-done', { op, epoch, outcome });
      }
      return outcome;
    },
    placement: () => engine.placement(),
    close: () => {
      stopped = true;
    },
  };
};
