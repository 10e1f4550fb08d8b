/**
 * Tree along which calls to all ranks of a group are relayed.
 *
 * If one agent called every rank, it would send and receive as many messages as there are ranks
 * over a single VM's link. Reading the experts of 192 ranks took 0.4 s and kept the agent from
 * reading its own engine; sending a map to each would take 6 s.
 *
 * Instead, a call goes to one agent in each data centre, from there to one in each cluster of its
 * ranks, and from there to the members. An agent calls at most about twice the square root of the
 * number of ranks in a data centre, and one copy of a message enters each data centre.
 */

/** A rank and the data centre of its agent. */
export interface TreeMember {
  rank: number;
  dataCentre: string;
}

/** A rank, and the routes to which its agent relays a call. */
export interface Route {
  rank: number;
  below: readonly Route[];
}

/** The clusters of one data centre, each with its ranks in ascending order. */
type DataCentre = readonly (readonly number[])[];

/** The group's ranks by data centre and cluster; equal at all agents that know the same members. */
export type GroupTree = readonly DataCentre[];

/** Maximum number of ranks of a data centre that one agent calls without clusters. */
const MAX_UNCLUSTERED_RANKS = 8;
/**
 * Number of lowest ranks in a cluster or data centre to which the others keep links: a relay and a
 * spare.
 */
export const RELAYS_PER_CLUSTER = 2;
/**
 * Maximum number of ranks that are called directly, which is faster than relaying for small groups.
 */
export const MAX_DIRECT_RANKS = 16;

const splitEvenly = (ranks: readonly number[], parts: number): number[][] =>
  Array.from({ length: parts }, (_, at) =>
    ranks.slice(
      Math.floor((at * ranks.length) / parts),
      Math.floor(((at + 1) * ranks.length) / parts),
    ),
  );

const clustersOf = (ranks: readonly number[]): DataCentre =>
  ranks.length <= MAX_UNCLUSTERED_RANKS
    ? ranks.map((rank) => [rank])
    : splitEvenly(ranks, Math.ceil(Math.sqrt(ranks.length)));

/**
 * Arranges a group's members. A rank whose VM was replaced is listed for both VMs; it is called
 * once.
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

/**
 * Returns the ranks that may relay calls to this one, in order of preference; its agent keeps links
 * to them.
 */
export const relaysOf = (
  tree: GroupTree,
  own: number,
  isUp: (rank: number) => boolean,
): number[] => {
  const lowest = (ranks: readonly number[]): number[] =>
    ranks.filter(isUp).slice(0, RELAYS_PER_CLUSTER);
  const dataCentre = tree.find((clusters) => clusters.some((ranks) => ranks.includes(own)));
  const cluster = dataCentre?.find((ranks) => ranks.includes(own));
  if (!dataCentre || !cluster) return [];
  const lowestOfCluster = lowest(cluster);
  const isRelay = lowestOfCluster.includes(own);
  const others = isRelay ? [...lowestOfCluster, ...lowest(dataCentre.flat())] : lowestOfCluster;
  return [...new Set(others)].filter((rank) => rank !== own);
};

const leaf = (rank: number): Route => ({ rank, below: [] });

/** Options of `routesTo`. */
export interface RoutesOptions {
  /** The rank whose agent makes the call. */
  own: number;
  /** Ranks to be called, without the caller's own. */
  wanted: ReadonlySet<number>;
  /**
   * Whether a rank's agent is linked to the caller; the other ranks of its cluster are assumed to
   * be linked to it, too.
   */
  isLinked: (rank: number) => boolean;
  /** Whether a linked agent may relay calls: it has not failed to answer recently. */
  isResponsive: (rank: number) => boolean;
}

/**
 * Returns routes to all wanted ranks, each exactly once. A rank that isn't responsive relays to
 * none, so that only its own answer is lost. Where no relay is responsive, the caller calls the
 * ranks directly.
 */
export const routesTo = (tree: GroupTree, options: RoutesOptions): Route[] => {
  const { own, wanted, isLinked, isResponsive } = options;
  const direct: Route[] = [];

  // Chooses among the agents to which the others keep links: the lowest that are up, as in
  // `relaysOf`.
  const relayOf = (ranks: readonly number[]): number | undefined =>
    ranks
      .filter((rank) => rank === own || isLinked(rank))
      .slice(0, RELAYS_PER_CLUSTER)
      .find((rank) => rank !== own && wanted.has(rank) && isResponsive(rank));

  /**
   * Routes from `caller`, which is in the cluster or calls its relay, to the members of a cluster.
   */
  const routesToCluster = (ranks: readonly number[], caller: number): Route[] => {
    const called = ranks.filter((rank) => rank !== caller && wanted.has(rank));
    if (ranks.includes(caller)) return called.map(leaf);
    const head = relayOf(ranks);
    if (head === undefined) {
      direct.push(...called.map(leaf));
      return [];
    }
    return [{ rank: head, below: called.filter((rank) => rank !== head).map(leaf) }];
  };

  const routesToDataCentre = (clusters: DataCentre): Route[] => {
    const below = (caller: number): Route[] =>
      clusters.flatMap((ranks) => routesToCluster(ranks, caller));
    const ranks = clusters.flat();
    // The caller's own data centre is also relayed if it has clusters; otherwise the relays of all
    // of its clusters would answer to the caller.
    const isClustered = clusters.length < ranks.length;
    if (ranks.includes(own) && !isClustered) return below(own);
    const head = relayOf(ranks);
    return head === undefined ? below(own) : [{ rank: head, below: below(head) }];
  };

  const routes = tree.flatMap(routesToDataCentre);
  const placed = new Set(tree.flat(2));
  const unplaced = [...wanted].filter((rank) => !placed.has(rank)).map(leaf);
  return [...routes, ...direct, ...unplaced];
};

/** Returns all ranks of a route, its own first. */
export const ranksOf = ({ rank, below }: Route): number[] => [rank, ...below.flatMap(ranksOf)];

/** Returns routes on which the caller calls each rank itself. */
export const directRoutes = (ranks: Iterable<number>): Route[] => [...ranks].map(leaf);

/** Groups below this size are polled as a whole: the counts of fewer than eight ranks say little about all. */
const MIN_ALTERNATING_RANKS = 16;

/**
 * Returns whether a rank is in one of the two halves of a group. Of any two neighbours in a cluster or data centre one is
 * in each half, so that each half has a relay.
 */
export const halfOf = (tree: GroupTree, size: number, half: 0 | 1): ((rank: number) => boolean) => {
  if (size < MIN_ALTERNATING_RANKS) return () => true;
  const halves = new Map(
    tree.flatMap((clusters) => clusters.flat().map((rank, at) => [rank, at % 2] as const)),
  );
  return (rank) => (halves.get(rank) ?? rank % 2) === half;
};
