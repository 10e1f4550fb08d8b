/**
 * Who passes calls on to whom in a group. The pattern: one agent that calls every rank sends and reads as
 * many messages as there are ranks, over a link made for one server's traffic. Reading what 192 ranks
 * hold took 0.4 s and kept the agent's own engine from being heard; a map to each would take 6 s.
 *
 * So calls go down a tree: to one agent in each data centre, from there to one in each cluster of its
 * ranks, from there to the members. Nobody calls more than about twice the square root of a data centre's
 * ranks, and one copy of a message enters each data centre.
 */

/** A rank and the data centre of its agent. */
export interface TreeMember {
  rank: number;
  dataCentre: string;
}

/** A rank, and the routes to which its agent passes a call on. */
export interface Route {
  rank: number;
  below: readonly Route[];
}

/** The clusters of one data centre, each with its ranks in order. */
type DataCentre = readonly (readonly number[])[];

/** The group's ranks by data centre and cluster; the same at every agent that knows the same members. */
export type GroupTree = readonly DataCentre[];

/** Up to this many ranks of a data centre are called by one agent without clusters. */
const UNCLUSTERED = 8;
/** Lowest ranks of a cluster or data centre to which the others keep links: a spare for each relay. */
export const RELAYS = 2;
/** Group of this many ranks or fewer: one agent reaches all sooner than a relay does. */
export const DIRECT_RANKS = 16;

const inParts = (ranks: readonly number[], parts: number): number[][] =>
  Array.from({ length: parts }, (_, at) =>
    ranks.slice(
      Math.floor((at * ranks.length) / parts),
      Math.floor(((at + 1) * ranks.length) / parts),
    ),
  );

const clustersOf = (ranks: readonly number[]): DataCentre =>
  ranks.length <= UNCLUSTERED
    ? ranks.map((rank) => [rank])
    : inParts(ranks, Math.ceil(Math.sqrt(ranks.length)));

/**
 * Arranges a group's members. A machine that took another's place has its rank, and both are listed; the rank is
 * called once.
 */
export const buildTree = (members: readonly TreeMember[]): GroupTree => {
  const byDataCentre = new Map<string, number[]>();
  const dataCentres = new Map(members.map(({ rank, dataCentre }) => [rank, dataCentre]));
  dataCentres.forEach((dataCentre, rank) => {
    byDataCentre.set(dataCentre, [...(byDataCentre.get(dataCentre) ?? []), rank]);
  });
  return [...byDataCentre]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([, ranks]) => clustersOf([...ranks].sort((a, b) => a - b)));
};

/** Ranks that may call this one, in the order in which they are preferred: its agent links to them. */
export const relaysOf = (
  tree: GroupTree,
  own: number,
  isUp: (rank: number) => boolean,
): number[] => {
  const lowest = (ranks: readonly number[]): number[] => ranks.filter(isUp).slice(0, RELAYS);
  const dataCentre = tree.find((clusters) => clusters.some((ranks) => ranks.includes(own)));
  const cluster = dataCentre?.find((ranks) => ranks.includes(own));
  if (!dataCentre || !cluster) return [];
  const ofCluster = lowest(cluster);
  const isRelay = ofCluster.includes(own);
  const others = isRelay ? [...ofCluster, ...lowest(dataCentre.flat())] : ofCluster;
  return [...new Set(others)].filter((rank) => rank !== own);
};

const leaf = (rank: number): Route => ({ rank, below: [] });

/** What routes are made for. */
export interface RoutesOptions {
  /** The rank whose agent makes the call. */
  own: number;
  /** Ranks that the call is for, without the own. */
  wanted: ReadonlySet<number>;
  /** Whether a rank's agent is linked here; the others in its cluster then take it for up, too. */
  isLinked: (rank: number) => boolean;
  /** Whether a linked agent is trusted to pass calls on: it was not silent of late. */
  isSound: (rank: number) => boolean;
}

/**
 * Routes to all wanted ranks, each exactly once. A rank that isn't sound has nobody below it, so that it
 * costs nobody but itself; where no relay is sound, the caller reaches the ranks directly.
 */
export const routesTo = (tree: GroupTree, options: RoutesOptions): Route[] => {
  const { own, wanted, isLinked, isSound } = options;
  const direct: Route[] = [];

  // The agents to which the others keep links: the lowest that are up, as `relaysOf` chooses them.
  const headOf = (ranks: readonly number[]): number | undefined =>
    ranks
      .filter((rank) => rank === own || isLinked(rank))
      .slice(0, RELAYS)
      .find((rank) => rank !== own && wanted.has(rank) && isSound(rank));

  /** Members of a cluster as seen by the agent that calls them, which is in it or calls its head. */
  const ofCluster = (ranks: readonly number[], caller: number): Route[] => {
    const called = ranks.filter((rank) => rank !== caller && wanted.has(rank));
    if (ranks.includes(caller)) return called.map(leaf);
    const head = headOf(ranks);
    if (head === undefined) {
      direct.push(...called.map(leaf));
      return [];
    }
    return [{ rank: head, below: called.filter((rank) => rank !== head).map(leaf) }];
  };

  const ofDataCentre = (clusters: DataCentre): Route[] => {
    const below = (caller: number): Route[] =>
      clusters.flatMap((ranks) => ofCluster(ranks, caller));
    const ranks = clusters.flat();
    // The caller hands its own data centre on like the others, or it would be called by all clusters of that.
    const isClustered = clusters.length < ranks.length;
    if (ranks.includes(own) && !isClustered) return below(own);
    const head = headOf(ranks);
    return head === undefined ? below(own) : [{ rank: head, below: below(head) }];
  };

  const routes = tree.flatMap(ofDataCentre);
  const placed = new Set(tree.flat(2));
  const unplaced = [...wanted].filter((rank) => !placed.has(rank)).map(leaf);
  return [...routes, ...direct, ...unplaced];
};

/** Ranks of a route, its own first. */
export const ranksOf = ({ rank, below }: Route): number[] => [rank, ...below.flatMap(ranksOf)];

/** A call of each rank by the caller itself. */
export const directRoutes = (ranks: Iterable<number>): Route[] => [...ranks].map(leaf);
