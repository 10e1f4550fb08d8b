import type { ExpertPlacement, GroupLayout } from '../types.js';

/** Load of a group, as input of the planner. */
export interface GroupLoad {
  /** Fraction of each layer's tokens by expert; each layer sums to 1. */
  popularity: readonly (readonly number[])[];
  /** Speed of each rank relative to the median; 1 is normal. */
  speeds: readonly number[];
  /** Fraction of a normal rank's step time that doesn't depend on its tokens. */
  fixedShare: number;
}

/** Replicas and predicted rank times of a map that is being planned. */
export interface PlacementState {
  /** Predicted step time of each rank; 1 is that of an evenly loaded group without stragglers. */
  readonly times: Float64Array;
  /** Ranks that hold an expert. */
  hosts(layer: number, expert: number): readonly number[];
  /** Experts of a layer on a rank. */
  held(rank: number, layer: number): readonly number[];
  /** Step time that a replica adds to a rank when its expert has this number of replicas. */
  cost(layer: number, expert: number, rank: number, replicas: number): number;
  /** Adds a replica. */
  add(layer: number, expert: number, rank: number): void;
  /** Removes a replica. */
  remove(layer: number, expert: number, rank: number): void;
  /** The placements as layers of a map. */
  layers(): ExpertPlacement[][];
}

/** Creates the placement state of a map under a load. */
export const createPlacementState = (
  layers: readonly ExpertPlacement[][],
  layout: GroupLayout,
  load: GroupLoad,
): PlacementState => {
  const { rankCount } = layout;
  const times = Float64Array.from(load.speeds, (speed) => load.fixedShare / speed);
  const hosts = layers.map((placements) => {
    const byExpert: number[][] = Array.from({ length: layout.experts }, () => []);
    for (const { expert, ranks } of placements) byExpert[expert] = [...ranks];
    return byExpert;
  });
  const held: number[][][] = Array.from({ length: rankCount }, () => layers.map(() => []));
  const timePerShare = ((1 - load.fixedShare) * rankCount) / layers.length;

  const cost = (layer: number, expert: number, rank: number, replicas: number): number =>
    (((load.popularity[layer]?.[expert] ?? 0) / replicas) * timePerShare) /
    (load.speeds[rank] ?? 1);

  const hostsOf = (layer: number, expert: number): number[] => hosts[layer]?.[expert] ?? [];
  const heldBy = (rank: number, layer: number): number[] => held[rank]?.[layer] ?? [];

  const addCosts = (layer: number, expert: number, replicas: number, sign: 1 | -1): void => {
    for (const rank of hostsOf(layer, expert)) {
      times[rank] = (times[rank] ?? 0) + sign * cost(layer, expert, rank, replicas);
    }
  };

  const editHosts = (layer: number, expert: number, edit: (ranks: number[]) => void): void => {
    const ranks = hostsOf(layer, expert);
    addCosts(layer, expert, ranks.length, -1);
    edit(ranks);
    addCosts(layer, expert, ranks.length, 1);
  };

  hosts.forEach((byExpert, layer) =>
    byExpert.forEach((ranks, expert) => {
      ranks.forEach((rank) => heldBy(rank, layer).push(expert));
      addCosts(layer, expert, ranks.length, 1);
    }),
  );

  return {
    times,
    hosts: hostsOf,
    held: heldBy,
    cost,
    add: (layer, expert, rank) => {
      editHosts(layer, expert, (ranks) => ranks.push(rank));
      heldBy(rank, layer).push(expert);
    },
    remove: (layer, expert, rank) => {
      editHosts(layer, expert, (ranks) => ranks.splice(ranks.indexOf(rank), 1));
      const experts = heldBy(rank, layer);
      experts.splice(experts.indexOf(expert), 1);
    },
    layers: () =>
      hosts.map((byExpert) =>
        byExpert.map((ranks, expert) => ({ expert, ranks: [...ranks].sort((a, b) => a - b) })),
      ),
  };
};

/** Predicted step time of the group: that of its slowest rank. */
export const slowestTime = (state: PlacementState): number => Math.max(...state.times);

/** Step time if the work were distributed so that all ranks, at their speeds, finish together. */
export const evenTime = ({ speeds }: GroupLoad): number =>
  speeds.length / speeds.reduce((sum, speed) => sum + speed, 0);
