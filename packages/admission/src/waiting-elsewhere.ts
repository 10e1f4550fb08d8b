/** Requests that wait at the other entries, by service and priority, from their reports. */

import type { Clock } from '@plantaindrum/common';

/** Waiting requests of one entry, by service and priority. */
export type WaitingCounts = Readonly<Record<string, Readonly<Record<string, number>>>>;

/** What the other entries have reported. */
export interface WaitingElsewhere {
  /** Replaces what an entry has reported. */
  record(peer: string, counts: WaitingCounts): void;
  forget(peer: string): void;
  /** Waiting requests of a service by priority, at all other entries together. */
  of(service: string): ReadonlyMap<number, number>;
}

/**
 * Time after which a report no longer counts, in ms. An entry with waiting requests repeats its report every 240 ms; a
 * frozen one must not hold the less urgent requests of the others back.
 */
const REPORT_VALID_MS = 500;

/** Creates the view of an entry that has received no reports. */
export const createWaitingElsewhere = (clock: Clock): WaitingElsewhere => {
  const reports = new Map<string, { at: number; counts: WaitingCounts }>();
  return {
    record: (peer, counts) => {
      if (Object.keys(counts).length === 0) reports.delete(peer);
      else reports.set(peer, { at: clock.monotonic(), counts });
    },
    forget: (peer) => {
      reports.delete(peer);
    },
    of: (service) => {
      const oldest = clock.monotonic() - REPORT_VALID_MS;
      const totals = new Map<number, number>();
      reports.forEach(({ at, counts }, peer) => {
        if (at < oldest) {
          reports.delete(peer);
          return;
        }
        Object.entries(counts[service] ?? {}).forEach(([priority, count]) => {
          const key = Number(priority);
          totals.set(key, (totals.get(key) ?? 0) + count);
        });
      });
      return totals;
    },
  };
};
