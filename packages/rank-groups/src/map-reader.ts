/**
 * Determines the map that a group uses: from the cache of this agent if possible, otherwise from
 * the ranks.
 */

import type { EventLog } from '@plantaindrum/common';
import type { Placement, RankPlacement } from './types.js';

/** Reads the map in use. */
export interface MapReader {
  /**
   * Returns the map of this version; undefined when some ranks have not yet reported their experts.
   */
  read(epoch: number, version: number, ranks: readonly number[]): Promise<Placement | undefined>;
}

/** Options of `createMapReader`. */
export interface MapReaderOptions {
  /** Returns a map that this agent has received or planned. */
  cachedPlacement: (epoch: number, version: number) => Placement | undefined;
  /** Queries the experts of these ranks; ranks that don't answer are missing from the result. */
  placements: (ranks: readonly number[]) => Promise<ReadonlyMap<number, RankPlacement>>;
  log: EventLog;
}

/** Creates the reader. */
export const createMapReader = ({
  cachedPlacement,
  placements,
  log,
}: MapReaderOptions): MapReader => {
  // Answers are kept across calls. Otherwise one slow rank of many would cause all of them to be
  // queried again each time.
  let placementByRank = new Map<number, RankPlacement>();
  let readFor = { epoch: -1, version: -1 };

  const join = (ranks: readonly number[]): Placement | undefined => {
    const [first] = ranks;
    const sets = first === undefined ? 0 : (placementByRank.get(first)?.experts.length ?? 0);
    if (sets === 0) return undefined;
    return Array.from({ length: sets }, (_, set) =>
      ranks.map((rank) => [...(placementByRank.get(rank)?.experts[set] ?? [])]),
    );
  };

  return {
    read: async (epoch, version, ranks) => {
      const cached = cachedPlacement(epoch, version);
      if (cached) return cached;
      if (readFor.epoch !== epoch || readFor.version !== version) placementByRank = new Map();
      readFor = { epoch, version };
      const missing = ranks.filter((rank) => !placementByRank.has(rank));
      const received = await placements(missing);
      received.forEach((entry, rank) => {
        if (entry.epoch === epoch && entry.version === version) placementByRank.set(rank, entry);
      });
      const stillMissing = ranks.filter((rank) => !placementByRank.has(rank));
      log.event('map-read', {
        epoch,
        version,
        asked: missing.length,
        missing: stillMissing.length,
      });
      return stillMissing.length === 0 ? join(ranks) : undefined;
    },
  };
};
