/** Counts the entries that this one is connected to, for limits that hold for all entries together. */

import type { Clock } from '@plantaindrum/common';

/** The connected entries, and those that were connected until recently. */
export interface ConnectedEntries {
  recordLinked(node: string): void;
  recordLost(node: string): void;
  /** Number of entries that may be running, including this one: the connected ones and those lost recently. */
  entries(): number;
  /** Fraction of these that is connected, including this one; above 0 and at most 1. */
  connectedFraction(): number;
}

/**
 * Time for which an entry counts after its link was lost, in ms: it may be running behind a partition. The share of an
 * entry that was shut down stays unused for this time.
 */
const LOST_ENTRY_TTL_MS = 60_000;

/** Creates the count of an entry that has no links yet. */
export const createConnectedEntries = (clock: Clock): ConnectedEntries => {
  const linked = new Set<string>();
  const lost = new Map<string, number>();

  const countRecentlyLost = (): number => {
    const oldest = clock.monotonic() - LOST_ENTRY_TTL_MS;
    [...lost].forEach(([node, at]) => {
      if (at < oldest) lost.delete(node);
    });
    return lost.size;
  };

  const entries = (): number => linked.size + countRecentlyLost() + 1;

  return {
    recordLinked: (node) => {
      linked.add(node);
      lost.delete(node);
    },
    recordLost: (node) => {
      if (linked.delete(node)) lost.set(node, clock.monotonic());
    },
    entries,
    connectedFraction: () => (linked.size + 1) / entries(),
  };
};
