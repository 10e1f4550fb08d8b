/** Current reports of all ranks of a group, as far as they are known to its coordinator. */

import type { RecordBlocker } from './blockers.js';
import { allRanks } from './change/group-port.js';
import type { LatestReports } from './latest-reports.js';
import type { CoordinatorPort } from './tree/rank-port.js';
import type { RankReport } from './types.js';

/** Reports of a group's ranks. */
export interface GroupReports {
  /** Reads the state of ranks whose agents do not respond; their selection counts stay unknown. */
  readUnresponsiveRanks(): Promise<RankReport[]>;
  /** Returns the reports of all ranks; undefined when one is missing or shows the group closed. */
  ofOpenGroup(): RankReport[] | undefined;
}

/** Options of `createGroupReports`. */
export interface GroupReportsOptions {
  port: Pick<CoordinatorPort, 'size' | 'epoch' | 'reports'>;
  latestReports: LatestReports;
  /** Time between two telemetry polls of the ranks, in ms. */
  telemetryIntervalMs: () => number;
  recordBlocker: RecordBlocker;
}

/**
 * A report is stale when its age exceeds two telemetry intervals by this, in ms: six engine
 * readings.
 */
const MAX_REPORT_AGE_MS = 500;
/** Creates the view of the latest reports. */
export const createGroupReports = (options: GroupReportsOptions): GroupReports => {
  const { port, latestReports, recordBlocker } = options;

  const maxReportAgeMs = (): number => MAX_REPORT_AGE_MS + 2 * options.telemetryIntervalMs();

  return {
    readUnresponsiveRanks: async () => {
      const silent = latestReports.olderThan(allRanks(port), maxReportAgeMs());
      return silent.length === 0 ? [] : port.reports(silent);
    },
    ofOpenGroup: () => {
      const ranks = allRanks(port);
      const silent = latestReports.olderThan(ranks, 2 * maxReportAgeMs());
      const [first] = silent;
      if (first !== undefined || ranks.length === 0) {
        recordBlocker('ranks-silent', { silent: silent.length, ranks: ranks.length, first });
        return undefined;
      }
      const reports = ranks.flatMap((rank) => latestReports.get(rank) ?? []);
      const closed = reports.filter(({ isOpen, epoch }) => !isOpen || epoch !== port.epoch());
      if (closed.length > 0) {
        recordBlocker('group-closed', { closed: closed.length, epoch: port.epoch() });
        return undefined;
      }
      return reports;
    },
  };
};
