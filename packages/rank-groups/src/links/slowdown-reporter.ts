/**
 * Reports to the entries that the engine beside this agent is slow, so that they send it fewer
 * requests.
 */

import type { Clock, EventLog } from '@plantaindrum/common';
import type { RankReport } from '../types.js';
import type { EntryChannel } from './entry-links.js';

/** Reports an engine's slowdown to the entries. */
export interface SlowdownReporter {
  /** Records a reading of the engine's slowdown. */
  record(report: Pick<RankReport, 'pace' | 'startedAt'>): void;
  /** Whether slowdowns are being reported, which needs current readings of the engine. */
  isReporting(): boolean;
}

/** Options of `createSlowdownReporter`. */
export interface SlowdownReporterOptions {
  /** Address by which entries identify the engine. */
  engine: { host: string; port: number };
  channel: EntryChannel;
  clock: Clock;
  log: EventLog;
}

/** Method of the note. */
export const ENGINE_SLOWDOWN_NOTE = 'engine.pace';

/** Slowdown above which it is reported: a group waits for its slowest rank in every pass. */
const SLOW_THRESHOLD = 1.1;
/** Links to entries are closed once the engine has not been slow for this long, in ms. */
const RECOVERY_MS = 5_000;

/** Creates the reporter, which needs links to entries only while there is a slowdown to report. */
export const createSlowdownReporter = (options: SlowdownReporterOptions): SlowdownReporter => {
  const { engine, channel, clock, log } = options;
  let slowAt = -Infinity;
  let isSlow = false;
  let usesChannel = false;

  const isReporting = (): boolean => clock.monotonic() - slowAt < RECOVERY_MS;

  return {
    isReporting,
    record: ({ pace, startedAt }) => {
      if (pace > SLOW_THRESHOLD) slowAt = clock.monotonic();
      if (pace > SLOW_THRESHOLD !== isSlow) log.event('engine-pace', { pace });
      isSlow = pace > SLOW_THRESHOLD;
      if (isReporting()) channel.send(() => ({ ...engine, startedAt, pace }));
      else if (usesChannel) channel.release();
      usesChannel = isReporting();
    },
  };
};
