import type { Clock } from '@plantaindrum/common';
import { MAX_REPORTS_PER_NOTE } from './quarantine-update.js';
import type { QuarantineUpdate } from './quarantine-update.js';

/** Kinds of reports in a quarantine update. */
export type ReportKind = Exclude<keyof QuarantineUpdate, 'tried'>;

/** Collects reports and broadcasts them to the other entries in batches. */
export interface QuarantineBroadcaster {
  add<Kind extends ReportKind>(kind: Kind, report: QuarantineUpdate[Kind][number]): void;
  /** Schedules a broadcast without a new report: the set of local trials has changed. */
  schedule(): void;
  close(): void;
}

/** Options of `createQuarantineBroadcaster`. */
export interface QuarantineBroadcasterOptions {
  broadcast: (update: QuarantineUpdate) => void;
  /** Returns the suspect requests under trial at this entry. */
  underTrial: () => readonly string[];
  clock: Clock;
}

/** Time for which reports are collected, in ms: upstreams that lose power together cause hundreds of them. */
const BROADCAST_DELAY_MS = 40;

/** Creates an update without reports. */
export const emptyQuarantineUpdate = (): QuarantineUpdate => ({
  crashes: [],
  quarantined: [],
  sound: [],
  partCrashes: [],
  soundParts: [],
  tried: [],
});

/** Creates the broadcaster; it sends nothing after `close`. */
export const createQuarantineBroadcaster = ({
  broadcast,
  underTrial,
  clock,
}: QuarantineBroadcasterOptions): QuarantineBroadcaster => {
  let pending = emptyQuarantineUpdate();
  let isScheduled = false;
  let isClosed = false;

  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    clock.after(BROADCAST_DELAY_MS, () => {
      isScheduled = false;
      const update = { ...pending, tried: underTrial().slice(0, MAX_REPORTS_PER_NOTE) };
      pending = emptyQuarantineUpdate();
      if (!isClosed) broadcast(update);
    });
  };

  return {
    add: (kind, report) => {
      const reports = pending[kind] as (typeof report)[];
      if (reports.length < MAX_REPORTS_PER_NOTE) reports.push(report);
      schedule();
    },
    schedule,
    close: () => {
      isClosed = true;
    },
  };
};
