/**
 * Reports to the entries when the group of the local engine closes or opens, so that they don't
 * have to find out by refused requests.
 *
 * All agents of a group read the same state. Two of each data centre report it: one may be lost,
 * and the loss of a data centre must not silence the group.
 */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import type { RankReport } from '../types.js';
import type { EntryChannel } from './entry-links.js';

/** State of a group as the entries receive it. */
export interface GroupState {
  group: string;
  epoch: number;
  isOpen: boolean;
  /** Unix time of the engine's start, in ms; 0 when unknown. */
  startedAt: number;
  /** Time since this agent first read this state, in ms. */
  ageMs: number;
}

/** Reports the state of a group. */
export interface GroupStateReporter {
  /** Records a reading of the engine. */
  record(report: RankReport): void;
  /** Stops to report when the engine has not been read for a while; called regularly. */
  checkAge(): void;
}

/** Options of `createGroupStateReporter`. */
export interface GroupStateReporterOptions {
  /** Whether this agent is one of those that report for the group. */
  isReporter: () => boolean;
  channel: EntryChannel;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** Method of the note. */
export const GROUP_STATE_NOTE = 'group.state';

/**
 * Time for which an open group is reported, in ms: entries that start up to this much later than
 * the group, or whose link was lost, still learn that it is open. The links are closed afterwards.
 */
const OPEN_REPORT_MS = 5_000;
/**
 * Interval at which an unchanged state is sent again, in ms, so that entries can discard what they
 * know from a lost agent.
 */
const REPEAT_INTERVAL_MS = 1_000;
/**
 * A state read longer ago than this is not reported, in ms; the longest regular time between two
 * readings is 0.5 s. The engine beside this agent may be gone while the group opens without it.
 */
const MAX_READING_AGE_MS = 1_200;

/** Creates the reporter; it uses the channel only while there is a state to report. */
export const createGroupStateReporter = (
  options: GroupStateReporterOptions,
): GroupStateReporter => {
  const { isReporter, channel, clock, metrics, log } = options;
  let latest: Omit<GroupState, 'ageMs'> | undefined;
  let changedAt = -Infinity;
  let readAt = -Infinity;
  let sentAt = -Infinity;
  let usesChannel = false;

  const since = (at: number): number => clock.monotonic() - at;

  const hasChanged = ({ group, epoch, isOpen, startedAt }: RankReport): boolean =>
    latest?.group !== group ||
    latest.epoch !== epoch ||
    latest.isOpen !== isOpen ||
    latest.startedAt !== startedAt;

  const readState = (): GroupState | undefined =>
    latest && since(readAt) < MAX_READING_AGE_MS
      ? { ...latest, ageMs: Math.round(since(changedAt)) }
      : undefined;

  const shouldReport = (): boolean => {
    const state = readState();
    const isNews = state !== undefined && (!state.isOpen || state.ageMs < OPEN_REPORT_MS);
    return isNews && isReporter();
  };

  const stop = (): void => {
    if (!usesChannel) return;
    usesChannel = false;
    channel.release();
  };

  const send = (state: Omit<GroupState, 'ageMs'>): void => {
    sentAt = clock.monotonic();
    usesChannel = true;
    channel.send(() => {
      const current = readState();
      return current && { ...current };
    });
    metrics.count('rank_group_states_sent', { state: state.isOpen ? 'open' : 'closed' });
  };

  return {
    record: (report) => {
      const isChange = hasChanged(report);
      const { group, epoch, isOpen, startedAt } = report;
      const now = clock.monotonic();
      readAt = now;
      if (isChange) {
        latest = { group, epoch, isOpen, startedAt };
        changedAt = now;
      }
      if (!latest || !shouldReport()) {
        stop();
        return;
      }
      const isFirst = isChange || !usesChannel;
      if (isFirst) log.event('group-state-sent', { group, epoch, isOpen });
      if (isFirst || since(sentAt) >= REPEAT_INTERVAL_MS) send(latest);
    },
    checkAge: () => {
      if (!shouldReport()) stop();
    },
  };
};
