/** The latest report of each rank that a coordinator has received. */

import type { Clock } from '@plantaindrum/common';
import { highestVersionOf } from './change/versions.js';
import { createPassTimes } from './pass-times.js';
import type { PassTimes } from './pass-times.js';
import type { RankReport } from './types.js';

/** Latest reports by rank. */
export interface LatestReports {
  record(report: RankReport): void;
  get(rank: number): RankReport | undefined;
  /** Returns those of the given ranks that have no report, or whose report is older than `ms`. */
  olderThan(ranks: readonly number[], ms: number): number[];
  /** The highest map version that any report has shown. */
  highestVersion(): number;
  /** Timing of the passes that the reports show. */
  readonly passes: Pick<PassTimes, 'passMs' | 'msSinceLast'>;
}

/** Creates an empty collection. */
export const createLatestReports = (clock: Clock): LatestReports => {
  const byRank = new Map<number, { report: RankReport; at: number }>();
  let highest = 0;
  const passes = createPassTimes(clock);

  const isOutdated = (report: RankReport): boolean => {
    const previous = byRank.get(report.rank)?.report;
    if (!previous) return false;
    // A late report from before an engine's restart would show a map and preparations that no
    // longer exist. One that was sent during a map change would show the change as not made, or its
    // pass as held.
    const isOfEarlierStart = report.startedAt < previous.startedAt;
    return isOfEarlierStart || (report.epoch === previous.epoch && report.step < previous.step);
  };

  return {
    record: (report) => {
      if (isOutdated(report)) return;
      const now = clock.monotonic();
      byRank.set(report.rank, { report, at: now });
      highest = Math.max(highest, highestVersionOf(report));
      passes.record(report.epoch, report.step);
    },
    get: (rank) => byRank.get(rank)?.report,
    olderThan: (ranks, ms) => {
      const oldest = clock.monotonic() - ms;
      return ranks.filter((rank) => (byRank.get(rank)?.at ?? -Infinity) < oldest);
    },
    highestVersion: () => highest,
    passes,
  };
};
