import { combineHashes, hashText } from './hash.js';
import type { EntryNode, Upstream } from './types.js';

/** How far two nodes are from each other. */
export type Distance = 'data-centre' | 'region' | 'far';

/** Settings of the subset. */
export interface SubsetOptions {
  self: EntryNode;
  /** Entries that keep a link to each upstream. */
  entriesPerUpstream: number;
  /** Fewest upstreams of one target that an entry keeps links to. */
  leastUpstreams: number;
}

interface Place {
  dataCentre: string;
  region: string;
}

const DISTANCE_ORDER: Record<Distance, number> = { 'data-centre': 0, region: 1, far: 2 };

/** How far `b` is from `a`. */
export const distanceOf = (a: Place, b: Place): Distance => {
  if (a.region !== b.region) return 'far';
  return a.dataCentre === b.dataCentre ? 'data-centre' : 'region';
};

/** Sorts by distance from `from`, then by rendezvous hash, so that a change moves few links. */
const rank = <T extends Place & { id: string }>(
  from: Place & { id: string },
  others: readonly T[],
): T[] => {
  const seed = hashText(from.id);
  return others
    .map((other) => ({
      other,
      distance: DISTANCE_ORDER[distanceOf(from, other)],
      hash: combineHashes(seed, hashText(other.id)),
    }))
    .sort((a, b) => a.distance - b.distance || b.hash - a.hash)
    .map(({ other }) => other);
};

/**
 * The upstreams of one target that this entry keeps links to. Every upstream picks its entries, so
 * that each has the same number and none is left out; a choice by the entries alone leaves some
 * upstreams without any. The entry adds its nearest ones up to the least number.
 */
export const subsetOf = (
  upstreams: readonly Upstream[],
  entries: readonly EntryNode[],
  options: SubsetOptions,
): Upstream[] => {
  const { self, entriesPerUpstream, leastUpstreams } = options;
  const known = entries.some((entry) => entry.id === self.id) ? entries : [...entries, self];
  const picking = upstreams.filter((upstream) =>
    rank(upstream, known)
      .slice(0, entriesPerUpstream)
      .some((entry) => entry.id === self.id),
  );
  const picked = new Set(picking);
  const nearest = rank(self, upstreams).filter((upstream) => !picked.has(upstream));
  return [...picking, ...nearest.slice(0, Math.max(0, leastUpstreams - picking.length))];
};
