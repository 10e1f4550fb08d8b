import { combineHashes, hashText } from './hash.js';
import type { EntryNode, Upstream } from './types.js';

/** Network distance of two nodes: same data centre, same region, or neither. */
export type Distance = 'data-centre' | 'region' | 'far';

/** Settings of `subsetOf`. */
export interface SubsetOptions {
  self: EntryNode;
  /** Entries that keep a link to each upstream. */
  entriesPerUpstream: number;
  /** Smallest number of upstreams of one target that an entry keeps links to. */
  minUpstreams: number;
}

/** Location of a node. */
interface Location {
  dataCentre: string;
  region: string;
}

const DISTANCE_ORDER: Record<Distance, number> = { 'data-centre': 0, region: 1, far: 2 };

/** Distance between two locations. */
export const distanceOf = (a: Location, b: Location): Distance => {
  if (a.region !== b.region) return 'far';
  return a.dataCentre === b.dataCentre ? 'data-centre' : 'region';
};

/**
 * Sorts by distance from `from`, then by rendezvous hash, so that a change of nodes moves few
 * links.
 */
const sortByPreference = <T extends Location & { id: string }>(
  from: Location & { id: string },
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

/** How the upstreams of one location rank the other entries relative to this one. */
interface EntryRanking {
  /** Number of entries that are nearer than this one. */
  nearer: number;
  /** Hashes of the entries at the same distance. */
  equidistantHashes: number[];
}

const rankEntries = (
  location: Location,
  self: EntryNode,
  others: readonly EntryNode[],
): EntryRanking => {
  const ownDistance = DISTANCE_ORDER[distanceOf(location, self)];
  const distances = others.map((entry) => DISTANCE_ORDER[distanceOf(location, entry)]);
  return {
    nearer: distances.filter((distance) => distance < ownDistance).length,
    equidistantHashes: others
      .filter((_, at) => distances[at] === ownDistance)
      .map((entry) => hashText(entry.id)),
  };
};

/**
 * Creates a filter for upstreams that rank `self` among their first `count` entries. It counts the
 * entries that rank higher, per location, and doesn't sort: with thousands of upstreams and
 * hundreds of entries, a sort for each upstream blocked the event loop for seconds, longer than the
 * heartbeat timeout of links.
 */
const createAssignmentFilter = (self: EntryNode, entries: readonly EntryNode[], count: number) => {
  const others = entries.filter((entry) => entry.id !== self.id);
  const selfHash = hashText(self.id);
  const byLocation = new Map<string, EntryRanking>();

  const rankingOf = ({ region, dataCentre }: Location): EntryRanking => {
    const key = JSON.stringify([region, dataCentre]);
    const ranking = byLocation.get(key) ?? rankEntries({ region, dataCentre }, self, others);
    byLocation.set(key, ranking);
    return ranking;
  };

  return (upstream: Upstream): boolean => {
    const { nearer, equidistantHashes } = rankingOf(upstream);
    if (nearer >= count) return false;
    const seed = hashText(upstream.id);
    const ownHash = combineHashes(seed, selfHash);
    const ahead = equidistantHashes.filter((hash) => combineHashes(seed, hash) > ownHash).length;
    return nearer + ahead < count;
  };
};

/**
 * Returns the upstreams of one target that this entry keeps links to. Entries are assigned from the
 * upstream's side, so that every upstream has the same number of entries; if entries chose, some
 * upstreams would have none. The entry adds its nearest other upstreams up to `minUpstreams`.
 */
export const subsetOf = (
  upstreams: readonly Upstream[],
  entries: readonly EntryNode[],
  options: SubsetOptions,
): Upstream[] => {
  const { self, entriesPerUpstream, minUpstreams } = options;
  const assigned = upstreams.filter(createAssignmentFilter(self, entries, entriesPerUpstream));
  const assignedSet = new Set(assigned);
  const nearest = sortByPreference(self, upstreams).filter(
    (upstream) => !assignedSet.has(upstream),
  );
  return [...assigned, ...nearest.slice(0, Math.max(0, minUpstreams - assigned.length))];
};
