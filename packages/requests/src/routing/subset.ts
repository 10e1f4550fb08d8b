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

/** Entries as upstreams of one place rank them against one of them. */
interface Rivals {
  /** Entries that are nearer than this one. */
  nearer: number;
  /** Hashes of the entries at the same distance. */
  level: number[];
}

const rivalsAt = (place: Place, self: EntryNode, others: readonly EntryNode[]): Rivals => {
  const own = DISTANCE_ORDER[distanceOf(place, self)];
  const distances = others.map((entry) => DISTANCE_ORDER[distanceOf(place, entry)]);
  return {
    nearer: distances.filter((distance) => distance < own).length,
    level: others.filter((_, at) => distances[at] === own).map((entry) => hashText(entry.id)),
  };
};

/**
 * Whether `self` is among the first `count` entries by the rank of an upstream. Counting those
 * ahead of it, by data centre, sorts nothing: with thousands of upstreams and hundreds of entries a
 * sort for each upstream held up the event loop for seconds, longer than links wait for a heartbeat.
 */
const createPicks = (self: EntryNode, entries: readonly EntryNode[], count: number) => {
  const others = entries.filter((entry) => entry.id !== self.id);
  const selfHash = hashText(self.id);
  const byPlace = new Map<string, Rivals>();

  const rivalsOf = ({ region, dataCentre }: Place): Rivals => {
    const key = JSON.stringify([region, dataCentre]);
    const rivals = byPlace.get(key) ?? rivalsAt({ region, dataCentre }, self, others);
    byPlace.set(key, rivals);
    return rivals;
  };

  return (upstream: Upstream): boolean => {
    const { nearer, level } = rivalsOf(upstream);
    if (nearer >= count) return false;
    const seed = hashText(upstream.id);
    const own = combineHashes(seed, selfHash);
    const ahead = level.filter((hash) => combineHashes(seed, hash) > own).length;
    return nearer + ahead < count;
  };
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
  const picking = upstreams.filter(createPicks(self, entries, entriesPerUpstream));
  const picked = new Set(picking);
  const nearest = rank(self, upstreams).filter((upstream) => !picked.has(upstream));
  return [...picking, ...nearest.slice(0, Math.max(0, leastUpstreams - picking.length))];
};
