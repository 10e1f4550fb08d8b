/** The newest report of each rank that a coordinator has been told. */

import type { Clock } from '@plantaindrum/common';
import { versionsOf } from './change/versions.js';
import { createPassTimes } from './pass-times.js';
import type { PassTimes } from './pass-times.js';
import type { RankReport } from './types.js';

/** Reports by rank. */
export interface KnownReports {
  note(report: RankReport): void;
  of(rank: number): RankReport | undefined;
  /** Those of these ranks whose last report is older than this, in ms, or that have none. */
  olderThan(ranks: readonly number[], ms: number): number[];
  /** The highest version of a map that any report has shown. */
  highestVersion(): number;
  /** The passes that the reports show. */
  readonly passes: Pick<PassTimes, 'passMs' | 'sinceLast'>;
}

/** Creates the record. */
export const createKnownReports = (clock: Clock): KnownReports => {
  const known = new Map<number, { report: RankReport; at: number }>();
  let highest = 0;
  const passes = createPassTimes(clock);

  const isOutdated = (report: RankReport): boolean => {
    const before = known.get(report.rank)?.report;
    if (!before) return false;
    // A late word of an engine's earlier start would show a map and preparations that are gone; one that was on
    // its way while a change was made would show it as not made, or its pass as held.
    const isOfEarlierStart = report.startedAt < before.startedAt;
    return isOfEarlierStart || (report.epoch === before.epoch && report.step < before.step);
  };

  return {
    note: (report) => {
      if (isOutdated(report)) return;
      const now = clock.monotonic();
      known.set(report.rank, { report, at: now });
      highest = Math.max(highest, versionsOf(report));
      passes.note(report.epoch, report.step);
    },
    of: (rank) => known.get(rank)?.report,
    olderThan: (ranks, ms) => {
      const oldest = clock.monotonic() - ms;
      return ranks.filter((rank) => (known.get(rank)?.at ?? -Infinity) < oldest);
    },
    highestVersion: () => highest,
    passes,
  };
};
