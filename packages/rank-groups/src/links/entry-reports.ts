/** What an agent reports to the entries about its engine: its slowdown and the state of its group. */

import type { RankReport } from '../types.js';
import { createEntryLinks } from './entry-links.js';
import type { EntryLinksOptions } from './entry-links.js';
import { createGroupStateReporter, GROUP_STATE_NOTE } from './group-state-reporter.js';
import type { GroupStateReporterOptions } from './group-state-reporter.js';
import { createSlowdownReporter, ENGINE_SLOWDOWN_NOTE } from './slowdown-reporter.js';
import type { SlowdownReporterOptions } from './slowdown-reporter.js';

/** Reports of one agent to the entries. */
export interface EntryReports {
  /** Records a reading of the engine. */
  record(report: RankReport): void;
  /** Whether slowdowns are being reported, which needs current readings of the engine. */
  isReportingSlowdown(): boolean;
  /** Adjusts links and reports to the known nodes and the age of the last reading. */
  update(): void;
  close(): Promise<void>;
}

/** Options of `createEntryReports`. */
export type EntryReportsOptions = EntryLinksOptions &
  Omit<GroupStateReporterOptions, 'channel'> &
  Omit<SlowdownReporterOptions, 'channel'>;

/** Creates the reports, which share their links to the entries. */
export const createEntryReports = (options: EntryReportsOptions): EntryReports => {
  const links = createEntryLinks(options);
  const slowdown = createSlowdownReporter({
    ...options,
    channel: links.channel(ENGINE_SLOWDOWN_NOTE),
  });
  const groupState = createGroupStateReporter({
    ...options,
    channel: links.channel(GROUP_STATE_NOTE),
  });
  return {
    record: (report) => {
      slowdown.record(report);
      groupState.record(report);
    },
    isReportingSlowdown: slowdown.isReporting,
    update: () => {
      groupState.checkAge();
      links.update();
    },
    close: links.close,
  };
};
