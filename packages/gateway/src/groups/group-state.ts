/**
 * Whether one rank group is open, from what agents and other entries report and from this entry's own attempts.
 *
 * Which source wins: the reports of agents, by epoch and by the time at which their state began. Refusals decide only
 * when many ranks that have room refuse and none has answered or sent an event in the same time, as full or slow ranks
 * refuse too; where agents have reported, or an answer has opened the group, half of the ranks must. An answer to a
 * request that was sent after the group closed, or a later event, opens it whatever was reported. Two changes within
 * half a second need a report of an agent. A report of an earlier epoch is ignored unless its engine started later:
 * after all ranks of a group were lost, epochs may count from the beginning.
 */

import type { Clock } from '@plantaindrum/common';
import type { GroupReport } from './group-report.js';

/** What is known of a group. */
export type GroupCondition = 'open' | 'closed' | 'unknown';

/** Where a change of state was learned from. */
export type GroupSource = 'agent' | 'entry' | 'answer' | 'refusals' | 'losses';

/** A change of a group's state. */
export interface GroupChange {
  condition: 'open' | 'closed';
  source: GroupSource;
  /** How long the state before lasted, as far as it is known here, in ms. */
  previousMs: number;
  /** How long ago the new state began, in ms. */
  ageMs: number;
}

/** State of one group. */
export interface GroupState {
  condition(): GroupCondition;
  /** When the state began (monotonic, ms); -Infinity while it is unknown. */
  since(): number;
  /** Applies a report by an agent or another entry. */
  applyReport(report: GroupReport, source: 'agent' | 'entry'): void;
  /** Records that a rank refused a request although it has room; `size` is the number of ranks. */
  recordRefusal(instance: string, size: number): void;
  /** Records that the connection to a rank was refused or lost; `size` is the number of ranks. */
  recordLoss(instance: string, size: number): void;
  /** Records that a rank answered a request that was sent at this time. */
  recordAnswer(sentAt: number): void;
  /** Records that a stream of the group had an event. */
  recordEvent(): void;
  /** The state as a report to other entries; undefined while it is unknown. */
  report(group: string): GroupReport | undefined;
}

/** Time within which the refusals that close a group were received, without an answer or an event, in ms. */
const REFUSAL_WINDOW_MS = 300;
/** Time for which events of a group that has closed may be on their way, in ms. */
const IN_TRANSIT_MS = 50;
/** Ranks that must have refused: a single one may have crashed, or be overloaded, without its group being closed. */
const MIN_REFUSING_RANKS = 3;
/** The same for large groups, as a fraction of the ranks. */
const REFUSING_FRACTION = 0.1;
/**
 * The same for a group of which agents have reported, or that an answer has opened. With a tenth, full ranks closed
 * groups that were open 50 to 170 times a second over 22 entries.
 */
const KNOWN_REFUSING_FRACTION = 0.5;
/**
 * Time between two changes that were not reported by agents, in ms. A closed group needs 600 ms to form; events that
 * arrive sooner after a closure may have been on their way.
 */
const MIN_CHANGE_INTERVAL_MS = 500;

/**
 * Time by which the known state may seem to have begun later than that of a report of a later epoch, in ms: agents that
 * don't coordinate their group read the state of their engine every 0.8 s.
 */
const REPORT_DELAY_MS = 1_000;

/** Number of refusing ranks that shows that a group of this size is closed. */
export const ranksToClose = (size: number, fraction: number = REFUSING_FRACTION): number =>
  Math.max(1, Math.min(size, Math.max(MIN_REFUSING_RANKS, Math.floor(size * fraction))));

/** Creates the state of a group of which nothing is known. */
export const createGroupState = (
  clock: Clock,
  onChange: (change: GroupChange) => void,
): GroupState => {
  let condition: GroupCondition = 'unknown';
  let since = -Infinity;
  let epoch = -1;
  let startedAt = 0;
  /** Whether the known state was reported, so that a report of a later epoch replaces it at once. */
  let isReported = false;
  /** Whether an agent has reported, or an answer has opened the group. */
  let isConfirmed = false;
  let answeredSentAt = -Infinity;
  /** When the last answer or event was received. */
  let activeAt = -Infinity;
  const refusals = new Map<string, number>();
  const losses = new Map<string, number>();

  const change = (next: 'open' | 'closed', source: GroupSource, at: number): void => {
    const now = clock.monotonic();
    const previousMs = condition === 'unknown' ? 0 : Math.max(0, at - since);
    condition = next;
    since = at;
    isReported = source === 'agent' || source === 'entry';
    isConfirmed ||= source === 'agent' || source === 'answer';
    refusals.clear();
    losses.clear();
    onChange({ condition: next, source, previousMs, ageMs: now - at });
  };

  const isOutdated = (report: GroupReport): boolean =>
    report.epoch >= 0 && report.epoch < epoch && report.startedAt <= startedAt;

  const recordEpoch = (report: GroupReport): void => {
    if (report.epoch < 0) return;
    // Only starts reported with this epoch count: epochs of before a loss of all ranks may be higher.
    startedAt = report.epoch === epoch ? Math.max(startedAt, report.startedAt) : report.startedAt;
    ({ epoch } = report);
  };

  const isSettled = (): boolean => clock.monotonic() - since >= MIN_CHANGE_INTERVAL_MS;

  /** Adds an instance to those of the last 300 ms; returns their number. */
  const addRecent = (instances: Map<string, number>, instance: string): number => {
    const now = clock.monotonic();
    instances.set(instance, now);
    instances.forEach((at, each) => {
      if (now - at > REFUSAL_WINDOW_MS) instances.delete(each);
    });
    return instances.size;
  };

  const recordActivity = (): void => {
    activeAt = clock.monotonic();
    refusals.clear();
    losses.clear();
  };

  const isLater = (report: GroupReport, changedAt: number): boolean => {
    if (condition === 'unknown') return true;
    const isLaterEpoch = isReported && epoch >= 0 && report.epoch > epoch;
    return changedAt > since - (isLaterEpoch ? REPORT_DELAY_MS : 0);
  };

  /** Applies a closure that another entry reports, unless answers or events arrive here after it. */
  const closeIfSilent = (changedAt: number): void => {
    clock.after(REFUSAL_WINDOW_MS, () => {
      const isSilent = activeAt < changedAt + IN_TRANSIT_MS;
      if (condition === 'open' && since < changedAt && isSilent) {
        change('closed', 'entry', changedAt);
      }
    });
  };

  return {
    condition: () => condition,
    since: () => since,
    applyReport: (report, source) => {
      const changedAt = clock.monotonic() - report.ageMs;
      if (isOutdated(report) || !isLater(report, changedAt)) return;
      // The closure was over by the time at which an answered request was sent.
      if (!report.isOpen && changedAt < answeredSentAt) return;
      // Only agents know the epoch, so one has reported to an entry that sends it.
      if (source === 'agent' || report.epoch >= 0) isConfirmed = true;
      const isLaterEpoch = report.epoch > epoch;
      const isChange = report.isOpen !== (condition === 'open') && condition !== 'unknown';
      if (source === 'entry' && isChange && !isLaterEpoch && !isSettled()) return;
      const next = report.isOpen ? 'open' : 'closed';
      const hasFormedAgain = next === 'open' && epoch >= 0 && report.epoch > epoch;
      const isDoubtful = changedAt - activeAt < REFUSAL_WINDOW_MS;
      if (source === 'entry' && next === 'closed' && !isLaterEpoch && isDoubtful) {
        closeIfSilent(changedAt);
        return;
      }
      recordEpoch(report);
      if (next !== condition) change(next, source, changedAt);
      // It was closed in between without being noticed here, so it takes up streams slowly all the same.
      else if (hasFormedAgain) since = changedAt;
    },
    recordRefusal: (instance, size) => {
      const now = clock.monotonic();
      const refusing = addRecent(refusals, instance);
      const fraction = isConfirmed ? KNOWN_REFUSING_FRACTION : REFUSING_FRACTION;
      const isActive = now - activeAt < REFUSAL_WINDOW_MS;
      const isProof = !isActive && isSettled() && refusing >= ranksToClose(size, fraction);
      if (condition === 'unknown' || (condition === 'open' && isProof)) {
        change('closed', 'refusals', now);
      }
    },
    recordLoss: (instance, size) => {
      const lost = addRecent(losses, instance);
      // All streams of a group break when it closes; the events before that don't speak against it.
      const isProof = isSettled() && lost >= ranksToClose(size);
      if (condition === 'unknown' || (condition === 'open' && isProof)) {
        change('closed', 'losses', clock.monotonic());
      }
    },
    recordAnswer: (sentAt) => {
      recordActivity();
      answeredSentAt = Math.max(answeredSentAt, sentAt);
      const isProof = condition === 'closed' && sentAt >= since && isSettled();
      if (isProof || condition === 'unknown') change('open', 'answer', activeAt);
    },
    recordEvent: () => {
      recordActivity();
      const isProof = condition === 'closed' && isSettled();
      if (isProof || condition === 'unknown') change('open', 'answer', activeAt);
    },
    report: (group) =>
      condition === 'unknown'
        ? undefined
        : {
            group,
            epoch,
            isOpen: condition === 'open',
            startedAt,
            ageMs: Math.max(0, clock.monotonic() - since),
          },
  };
};
