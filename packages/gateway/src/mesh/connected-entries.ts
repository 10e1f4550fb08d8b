/** Counts the entries that this one is connected to, for limits that hold for all entries together. */

import { createHash } from 'node:crypto';
import type { Clock } from '@plantaindrum/common';
import type { EntrySharing } from '../upstreams/warmup-limit.js';

/** The connected entries, and those that were connected until recently. */
export interface ConnectedEntries {
  /** Records that an entry is registered; until it is linked it may be running behind a partition. */
  recordRegistered(node: string): void;
  recordLinked(node: string): void;
  recordLost(node: string): void;
  /** Number of entries that may be running, including this one: the connected ones, and those lost or found recently. */
  entries(): number;
  /** Fraction of these that is connected, including this one; above 0 and at most 1. */
  connectedFraction(): number;
  /** How this entry, named `self`, shares limits with the others. */
  sharing(self: string): EntrySharing;
}

/**
 * Time for which an entry counts after its link was lost, or after it was found to be registered, in ms: it may be
 * running behind a partition. The share of an entry that was shut down stays unused for this time.
 */
const UNLINKED_ENTRY_TTL_MS = 60_000;

/** A number derived from a text, evenly distributed. */
const numberOf = (text: string): number =>
  createHash('sha256').update(text).digest().readUInt32BE(0);

/** Creates the count of an entry that has no links yet. */
export const createConnectedEntries = (clock: Clock): ConnectedEntries => {
  const linked = new Set<string>();
  const unlinked = new Map<string, number>();
  const registered = new Set<string>();

  const countUnlinked = (): number => {
    const oldest = clock.monotonic() - UNLINKED_ENTRY_TTL_MS;
    [...unlinked].forEach(([node, at]) => {
      if (at < oldest) unlinked.delete(node);
    });
    return unlinked.size;
  };

  const entries = (): number => linked.size + countUnlinked() + 1;

  const connectedFraction = (): number => (linked.size + 1) / entries();

  return {
    recordRegistered: (node) => {
      if (registered.has(node)) return;
      registered.add(node);
      if (!linked.has(node)) unlinked.set(node, clock.monotonic());
    },
    recordLinked: (node) => {
      linked.add(node);
      unlinked.delete(node);
    },
    recordLost: (node) => {
      if (linked.delete(node)) unlinked.set(node, clock.monotonic());
    },
    entries,
    connectedFraction,
    sharing: (self) => ({
      entries: entries(),
      connectedFraction: connectedFraction(),
      position: (key) => {
        const index = [...linked, ...unlinked.keys()].filter((other) => other < self).length;
        return (index + numberOf(key)) % entries();
      },
    }),
  };
};
