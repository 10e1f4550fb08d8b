/** Finds out which map a group uses: from what this agent knows already, else from the ranks. */

import type { EventLog } from '@plantaindrum/common';
import type { Placement, RankPlacement } from './types.js';

/** The reader. */
export interface MapReader {
  /** The map of this version, which the ranks use; undefined when some have not told what they hold. */
  read(epoch: number, version: number, ranks: readonly number[]): Promise<Placement | undefined>;
}

/** Options of `createMapReader`. */
export interface MapReaderOptions {
  /** A map that this agent has been told or has planned. */
  known: (epoch: number, version: number) => Placement | undefined;
  /** What these ranks hold, as far as they have answered. */
  placements: (ranks: readonly number[]) => Promise<ReadonlyMap<number, RankPlacement>>;
  log: EventLog;
}

/** Creates the reader. */
export const createMapReader = ({ known, placements, log }: MapReaderOptions): MapReader => {
  // What was read is kept: one late rank of many would else have all of them asked anew for ever.
  let held = new Map<number, RankPlacement>();
  let readFor = { epoch: -1, version: -1 };

  const join = (ranks: readonly number[]): Placement | undefined => {
    const [first] = ranks;
    const sets = first === undefined ? 0 : (held.get(first)?.experts.length ?? 0);
    if (sets === 0) return undefined;
    return Array.from({ length: sets }, (_, set) =>
      ranks.map((rank) => [...(held.get(rank)?.experts[set] ?? [])]),
    );
  };

  return {
    read: async (epoch, version, ranks) => {
      const told = known(epoch, version);
      if (told) return told;
      if (readFor.epoch !== epoch || readFor.version !== version) held = new Map();
      readFor = { epoch, version };
      const missing = ranks.filter((rank) => !held.has(rank));
      const found = await placements(missing);
      found.forEach((entry, rank) => {
        if (entry.epoch === epoch && entry.version === version) held.set(rank, entry);
      });
      const still = ranks.filter((rank) => !held.has(rank));
      log.event('map-read', { epoch, version, asked: missing.length, missing: still.length });
      return still.length === 0 ? join(ranks) : undefined;
    },
  };
};
