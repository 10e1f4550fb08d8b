/** Which part of the entries this one is linked with, for limits that hold for all entries together. */

import type { Clock } from '@plantaindrum/common';

/** The entries that are linked, and those that were a while ago. */
export interface LinkedShare {
  noteLinked(node: string): void;
  noteLost(node: string): void;
  /** Entries that may be at work, this one counted: the linked ones, and those lost lately. */
  entries(): number;
  /** Part of them that this one hears of, itself included, above 0 and at most 1. */
  share(): number;
}

/**
 * An entry whose link is lost may be at work behind a partition, and counts for this long, in ms. One that
 * was ended for good takes its part with it until then.
 */
const LOST_COUNTS_MS = 60_000;

/** Creates the share of an entry that has no links yet. */
export const createLinkedShare = (clock: Clock): LinkedShare => {
  const linked = new Set<string>();
  const lost = new Map<string, number>();

  const lostLately = (): number => {
    const oldest = clock.monotonic() - LOST_COUNTS_MS;
    [...lost].forEach(([node, at]) => {
      if (at < oldest) lost.delete(node);
    });
    return lost.size;
  };

  const entries = (): number => linked.size + lostLately() + 1;

  return {
    noteLinked: (node) => {
      linked.add(node);
      lost.delete(node);
    },
    noteLost: (node) => {
      if (linked.delete(node)) lost.set(node, clock.monotonic());
    },
    entries,
    share: () => (linked.size + 1) / entries(),
  };
};
