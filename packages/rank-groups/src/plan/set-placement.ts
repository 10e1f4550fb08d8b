/** Placement of one set's experts on the ranks of a group, with the resulting load of each rank. */

/** The placement of one set while it is planned. */
export interface SetPlacement {
  /** Load of each rank; 1 is an even share. */
  readonly loads: readonly number[];
  /** Ranks that hold an expert. */
  hosts(expert: number): readonly number[];
  expertsAt(rank: number): readonly number[];
  /** Load that an expert puts on one of this number of hosts; larger when the rank is slow. */
  expertLoad(rank: number, expert: number, hosts: number): number;
  /** Whether a rank held the expert before planning began, so that adding it back costs no copy. */
  hadInitially(rank: number, expert: number): boolean;
  /** Number of experts that are new to a rank. */
  added(rank: number): number;
  add(rank: number, expert: number): void;
  remove(rank: number, expert: number): void;
  maxLoad(): number;
}

/**
 * Creates the placement; `shares` is each expert's share of the selections, `slowdowns` each rank's
 * slowdown.
 */
export const createSetPlacement = (
  ranks: readonly (readonly number[])[],
  shares: readonly number[],
  slowdowns: readonly number[] = [],
): SetPlacement => {
  const initial = ranks.map((experts) => new Set(experts));
  const expertsByRank = ranks.map((experts) => [...experts]);
  const hosts: number[][] = shares.map(() => []);
  ranks.forEach((experts, rank) => experts.forEach((expert) => hosts[expert]?.push(rank)));
  const loads = new Array<number>(ranks.length).fill(0);
  const added = new Array<number>(ranks.length).fill(0);
  // Cached because it is read much more often than loads change.
  let cachedMaxLoad: number | undefined;

  const expertLoad = (rank: number, expert: number, count: number): number =>
    ((shares[expert] ?? 0) * ranks.length * (slowdowns[rank] ?? 1)) / Math.max(1, count);

  const addExpertLoad = (expert: number, sign: 1 | -1): void => {
    const expertHosts = hosts[expert] ?? [];
    cachedMaxLoad = undefined;
    expertHosts.forEach((rank) => {
      loads[rank] = (loads[rank] ?? 0) + sign * expertLoad(rank, expert, expertHosts.length);
    });
  };
  shares.forEach((_, expert) => addExpertLoad(expert, 1));

  const isNew = (rank: number, expert: number): boolean => !initial[rank]?.has(expert);

  return {
    loads,
    hosts: (expert) => hosts[expert] ?? [],
    expertsAt: (rank) => expertsByRank[rank] ?? [],
    expertLoad,
    hadInitially: (rank, expert) => !isNew(rank, expert),
    added: (rank) => added[rank] ?? 0,
    add: (rank, expert) => {
      if (isNew(rank, expert)) added[rank] = (added[rank] ?? 0) + 1;
      addExpertLoad(expert, -1);
      hosts[expert]?.push(rank);
      expertsByRank[rank]?.push(expert);
      addExpertLoad(expert, 1);
    },
    remove: (rank, expert) => {
      if (isNew(rank, expert)) added[rank] = (added[rank] ?? 0) - 1;
      addExpertLoad(expert, -1);
      hosts[expert] = (hosts[expert] ?? []).filter((other) => other !== rank);
      expertsByRank[rank] = (expertsByRank[rank] ?? []).filter((other) => other !== expert);
      addExpertLoad(expert, 1);
    },
    maxLoad: () => {
      cachedMaxLoad ??= Math.max(...loads);
      return cachedMaxLoad;
    },
  };
};
