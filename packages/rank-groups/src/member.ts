/** The agent beside one rank: it reads the rank's engine, tells the coordinator, passes orders on. */

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

/** What a member tells the coordinator of its group. */
export interface RankUpdate {
  report: RankReport;
  /** Picks of each expert since the last update. */
  picks: number[];
}

/** The agent's part in its group. */
export interface RankMember {
  /** The newest report; undefined before the first. */
  lastReport(): RankReport | undefined;
  report(): Promise<RankReport | undefined>;
  order(order: RankOrder): Promise<OrderOutcome>;
  placement(): Promise<RankPlacement | undefined>;
  close(): void;
}

/** Options of `createRankMember`. */
export interface RankMemberOptions {
  engine: RankEngine;
  /** Told of each reading of the engine. */
  onUpdate: (update: RankUpdate) => void;
  /** How long apart counts are read at least, in ms, in a group of this many ranks. */
  countsEveryMs: (ranks: number) => number;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** Readings of the engine, in ms: about one a pass, so that a shift shows within two passes. */
const READ_MS = 80;
/** Readings while the engine copies experts for a change that all ranks wait for, in ms. */
const COPYING_MS = 15;
/** An engine that does not answer is asked less often, in ms. */
const SILENT_MS = 500;
/** Copying takes less than this, in ms; an order that was superseded must not keep the pace up. */
const COPYING_MOST_MS = 2_000;

/** Picks since an earlier reading; an engine that started anew counts from nothing. */
const picksSince = (before: ExpertCounts, now: ExpertCounts): number[] => {
  const isAnew =
    now.startedAt > before.startedAt || now.counts.some((n, at) => n < (before.counts[at] ?? 0));
  return isAnew ? [...now.counts] : now.counts.map((n, at) => n - (before.counts[at] ?? 0));
};

/** Starts to read the engine; runs until `close`. */
export const createRankMember = (options: RankMemberOptions): RankMember => {
  const { engine, onUpdate, clock, metrics, log } = options;
  let last: RankReport | undefined;
  let counts: ExpertCounts | undefined;
  let countedAt = -Infinity;
  let copying: { version: number; until: number } | undefined;
  let stopped = false;

  const noteReport = (report: RankReport): void => {
    if (last && last.startedAt < report.startedAt) {
      log.event('engine-started-again', { rank: report.rank, startedAt: report.startedAt });
      copying = undefined;
    }
    if (last?.epoch !== report.epoch || last.isOpen !== report.isOpen) {
      const { group, epoch, rank, isOpen, map } = report;
      log.event('rank-state', { group, epoch, rank, isOpen, map });
    }
    last = report;
    if (copying && (report.prepared === copying.version || clock.monotonic() > copying.until)) {
      copying = undefined;
    }
  };

  const readPicks = async (): Promise<number[]> => {
    const reading = await engine.counts();
    if (!reading) return [];
    const before = counts;
    counts = reading;
    // The first reading holds all of the engine's past, which says nothing about now.
    return before ? picksSince(before, reading) : [];
  };

  const readOnce = async (): Promise<boolean> => {
    const report = await engine.report();
    if (!report) {
      metrics.count('rank_engine_silent');
      return false;
    }
    const now = clock.monotonic();
    // Timers fire late, never early: a reading that is due within half a turn is due.
    const isDue = now - countedAt > options.countsEveryMs(report.size) - READ_MS / 2;
    const readsCounts = isDue && copying === undefined;
    if (readsCounts) countedAt = now;
    noteReport(report);
    onUpdate({ report, picks: readsCounts ? await readPicks() : [] });
    return true;
  };

  const run = async (): Promise<void> => {
    while (!stopped) {
      const isThere = await readOnce();
      const usual = copying ? COPYING_MS : READ_MS;
      await sleep(clock, isThere ? usual : SILENT_MS);
    }
  };
  void run();

  return {
    lastReport: () => last,
    report: async () => {
      const report = await engine.report();
      if (report) noteReport(report);
      return report;
    },
    order: async (order) => {
      if (order.op === 'prepare') {
        copying = { version: order.version, until: clock.monotonic() + COPYING_MOST_MS };
      }
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
