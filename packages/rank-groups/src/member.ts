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

/** The agent's part in its group. */
export interface RankMember {
  /** The newest report; undefined before the first. */
  lastReport(): RankReport | undefined;
  /** Reads a report now. */
  report(): Promise<RankReport | undefined>;
  /** A report for others that ask regularly, read now unless the last one will do or the engine has just fallen silent. */
  newsReport(): Promise<RankReport | undefined>;
  /** Picks of each expert since this was last asked; none the first time, or after a long pause. */
  takePicks(): Promise<number[]>;
  /** Whether the engine has copied a version within this time, in ms. */
  awaitPrepared(version: number, mostMs: number): Promise<boolean>;
  order(order: RankOrder): Promise<OrderOutcome>;
  placement(): Promise<RankPlacement | undefined>;
  close(): void;
}

/** Options of `createRankMember`. */
export interface RankMemberOptions {
  engine: RankEngine;
  /** Told of each reading of the engine. */
  onReport: (report: RankReport) => void;
  /** Whether readings are wanted once a pass though a coordinator asks for news. */
  isWatched: () => boolean;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** Between readings of the engine, in ms: about a pass, so that a shift shows within two passes. */
const READ_MS = 80;
/** The same while a coordinator asks for news, whose questions are readings of their own. */
const ASKED_READ_MS = 400;
/** A report of this age tells a coordinator what it needs, in ms: two passes; its counts are read each time. */
const FRESH_MS = 150;
/** A coordinator that has not asked for this long may be gone, in ms. */
const ASKED_MS = 1_000;
/** Pause between readings while a change waits for the engine to have copied experts, in ms. */
const COPYING_MS = 15;
/** An engine that does not answer is asked less often, in ms. */
const SILENT_MS = 500;
/** A report that is older says nothing about now, in ms: four readings, and one that took long. */
const RECENT_MS = 400;
/** Picks of a longer time tell what was popular before, not now, in ms. */
const PICKS_MOST_MS = 2_000;

/** Picks of each expert between two readings; an engine that started anew counts from nothing. */
const picksBetween = (before: ExpertCounts, now: ExpertCounts): number[] => {
  const isAnew =
    now.startedAt > before.startedAt || now.counts.some((n, at) => n < (before.counts[at] ?? 0));
  return isAnew ? [...now.counts] : now.counts.map((n, at) => n - (before.counts[at] ?? 0));
};

/** Starts to read the engine; runs until `close`. */
export const createRankMember = (options: RankMemberOptions): RankMember => {
  const { engine, onReport, isWatched, clock, metrics, log } = options;
  let askedAt = -Infinity;
  let last: { report: RankReport; at: number } | undefined;
  /** When a report was last told on; those that are read for a change are not. */
  let toldAt = -Infinity;
  let counted: { counts: ExpertCounts; at: number } | undefined;
  let taking: Promise<unknown> = Promise.resolve();
  let stopped = false;

  const noteReport = (report: RankReport): void => {
    const before = last?.report;
    if (before && before.startedAt < report.startedAt) {
      log.event('engine-started-again', { rank: report.rank, startedAt: report.startedAt });
    }
    if (before?.epoch !== report.epoch || before.isOpen !== report.isOpen) {
      const { group, epoch, rank, isOpen, map } = report;
      log.event('rank-state', { group, epoch, rank, isOpen, map });
    }
    last = { report, at: clock.monotonic() };
  };

  const readPicks = async (): Promise<number[]> => {
    const reading = await engine.counts();
    if (!reading) return [];
    const before = counted;
    counted = { counts: reading, at: clock.monotonic() };
    // The first reading holds all of the engine's past, which says nothing about now.
    const isUsable = before && counted.at - before.at < PICKS_MOST_MS;
    return isUsable ? picksBetween(before.counts, reading) : [];
  };

  const readNow = async (): Promise<RankReport | undefined> => {
    const report = await engine.report();
    if (report) noteReport(report);
    return report;
  };

  const readOnce = async (): Promise<RankReport | undefined> => {
    const report = await readNow();
    if (!report) {
      metrics.count('rank_engine_silent');
      return undefined;
    }
    toldAt = clock.monotonic();
    onReport(report);
    return report;
  };

  const readEveryMs = (): number => {
    const isAsked = clock.monotonic() - askedAt < ASKED_MS;
    return isAsked && !isWatched() ? ASKED_READ_MS : READ_MS;
  };

  const run = async (): Promise<void> => {
    while (!stopped) {
      const restMs = toldAt + readEveryMs() - clock.monotonic();
      if (restMs > 0) await sleep(clock, restMs);
      else if (!(await readOnce())) await sleep(clock, SILENT_MS);
    }
  };
  void run();

  const reportWithin = (ms: number): RankReport | undefined =>
    last && clock.monotonic() - last.at < ms ? last.report : undefined;

  return {
    lastReport: () => last?.report,
    report: readNow,
    newsReport: async () => {
      askedAt = clock.monotonic();
      return reportWithin(FRESH_MS) ?? (await readOnce()) ?? reportWithin(RECENT_MS);
    },
    // One reading after the other: an older one that came in last would look like an engine that
    // started anew, and all of its counts would pass for new picks.
    takePicks: () => {
      const taken = taking.then(readPicks);
      taking = taken;
      return taken;
    },
    awaitPrepared: async (version, mostMs) => {
      for (const until = clock.monotonic() + mostMs; ;) {
        if ((await readNow())?.prepared === version) return true;
        if (clock.monotonic() > until) return false;
        await sleep(clock, COPYING_MS);
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
