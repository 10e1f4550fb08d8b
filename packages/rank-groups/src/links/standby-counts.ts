/** Sends selection counts to the agent that coordinates next, several polls in one message. */

import type { Clock } from '@plantaindrum/common';

/**
 * Time between two messages, in ms. The standby only needs counts when it takes over; one message for each poll was a
 * tenth of the bytes between data centres.
 */
const SEND_INTERVAL_MS = 500;

/** Options of `createStandbyCounts`. */
export interface StandbyCountsOptions {
  send: (selectionCounts: readonly number[]) => void;
  clock: Clock;
}

/** Returns the function that adds the counts of one poll and sends the sum when it is due. */
export const createStandbyCounts = ({ send, clock }: StandbyCountsOptions) => {
  let pending: readonly number[] = [];
  let sentAt = -Infinity;

  return (selectionCounts: readonly number[]): void => {
    const isSameSize = pending.length === selectionCounts.length;
    pending = isSameSize ? pending.map((n, at) => n + (selectionCounts[at] ?? 0)) : selectionCounts;
    if (clock.monotonic() - sentAt < SEND_INTERVAL_MS) return;
    sentAt = clock.monotonic();
    send(pending);
    pending = [];
  };
};
