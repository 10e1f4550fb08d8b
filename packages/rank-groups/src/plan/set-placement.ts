/** Experts of one set on the ranks of a group, with the load that each rank has from them. */

/** The placement of one set while it is planned. */
export interface SetPlacement {
  /** Load of each rank; 1 is an even share. */
  readonly loads: readonly number[];
  /** Ranks that hold an expert. */
  hosts(expert: number): readonly number[];
  held(rank: number): readonly number[];
  /** Load that an expert puts on a rank, with this many hosts; more where the rank is slow. */
  part(rank: number, expert: number, hosts: number): number;
  /** Whether a rank had the expert before planning began: taking it back costs no copy. */
  hadBefore(rank: number, expert: number): boolean;
  /** Experts that are new to a rank. */
  added(rank: number): number;
  add(rank: number, expert: number): void;
  remove(rank: number, expert: number): void;
  highest(): number;
}

/** Creates the placement; `shares` is each expert's share of the picks, `paces` each rank's slowness. */
export const createSetPlacement = (
  ranks: readonly (readonly number[])[],
  shares: readonly number[],
  paces: readonly number[] = [],
): SetPlacement => {
  const before = ranks.map((experts) => new Set(experts));
  const held = ranks.map((experts) => [...experts]);
  const hosts: number[][] = shares.map(() => []);
  ranks.forEach((experts, rank) => experts.forEach((expert) => hosts[expert]?.push(rank)));
  const loads = new Array<number>(ranks.length).fill(0);
  const added = new Array<number>(ranks.length).fill(0);
  // Asked for much more often than loads change.
  let highest: number | undefined;

  const part = (rank: number, expert: number, count: number): number =>
    ((shares[expert] ?? 0) * ranks.length * (paces[rank] ?? 1)) / Math.max(1, count);

  const shift = (expert: number, by: 1 | -1): void => {
    const on = hosts[expert] ?? [];
    highest = undefined;
    on.forEach((rank) => {
      loads[rank] = (loads[rank] ?? 0) + by * part(rank, expert, on.length);
    });
  };
  shares.forEach((_, expert) => shift(expert, 1));

  const isNew = (rank: number, expert: number): boolean => !before[rank]?.has(expert);

  return {
    loads,
    hosts: (expert) => hosts[expert] ?? [],
    held: (rank) => held[rank] ?? [],
    part,
    hadBefore: (rank, expert) => !isNew(rank, expert),
    added: (rank) => added[rank] ?? 0,
    add: (rank, expert) => {
      if (isNew(rank, expert)) added[rank] = (added[rank] ?? 0) + 1;
      shift(expert, -1);
      hosts[expert]?.push(rank);
      held[rank]?.push(expert);
      shift(expert, 1);
    },
    remove: (rank, expert) => {
      if (isNew(rank, expert)) added[rank] = (added[rank] ?? 0) - 1;
      shift(expert, -1);
      hosts[expert] = (hosts[expert] ?? []).filter((other) => other !== rank);
      held[rank] = (held[rank] ?? []).filter((other) => other !== expert);
      shift(expert, 1);
    },
    highest: () => {
      highest ??= Math.max(...loads);
      return highest;
    },
  };
};
