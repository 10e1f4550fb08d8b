import type { ExpertPlacement, GroupLayout } from '../types.js';

/** What the planner knows of the group's load. */
export interface LoadView {
  /** Share of each layer's tokens by expert; each layer sums to 1. */
  popularity: readonly (readonly number[])[];
  /** Speed of each rank relative to the median; 1 is usual. */
  speeds: readonly number[];
  /** Share of a usual rank's step time that does not depend on its tokens. */
  fixedShare: number;
}

/** Replicas and rank times of a map that is being planned. */
export interface PlacementState {
  /** Predicted time of each rank in a step; 1 is an even group's without stragglers. */
  readonly times: Float64Array;
  /** Ranks that hold an expert. */
  hosts(layer: number, expert: number): readonly number[];
  /** Experts of a layer on a rank. */
  held(rank: number, layer: number): readonly number[];
  /** Time that one replica costs a rank, when its expert has so many replicas. */
  cost(layer: number, expert: number, rank: number, replicas: number): number;
  add(layer: number, expert: number, rank: number): void;
  remove(layer: number, expert: number, rank: number): void;
  /** The placements as a map's layers. */
  layers(): ExpertPlacement[][];
}

/** Creates the state of a map under a load. */
export const createPlacementState = (
  layers: readonly ExpertPlacement[][],
  layout: GroupLayout,
  load: LoadView,
): PlacementState => {
  const { rankCount } = layout;
  const times = Float64Array.from(load.speeds, (speed) => load.fixedShare / speed);
  const hosts = layers.map((placements) => {
    const byExpert: number[][] = Array.from({ length: layout.experts }, () => []);
    for (const { expert, ranks } of placements) byExpert[expert] = [...ranks];
    return byExpert;
  });
  const held: number[][][] = Array.from({ length: rankCount }, () => layers.map(() => []));
  const unit = ((1 - load.fixedShare) * rankCount) / layers.length;

  const cost = (layer: number, expert: number, rank: number, replicas: number): number =>
    (((load.popularity[layer]?.[expert] ?? 0) / replicas) * unit) / (load.speeds[rank] ?? 1);

  const hostsOf = (layer: number, expert: number): number[] => hosts[layer]?.[expert] ?? [];
  const heldBy = (rank: number, layer: number): number[] => held[rank]?.[layer] ?? [];

  const shift = (layer: number, expert: number, replicas: number, sign: 1 | -1): void => {
    for (const rank of hostsOf(layer, expert)) {
      times[rank] = (times[rank] ?? 0) + sign * cost(layer, expert, rank, replicas);
    }
  };

  const change = (layer: number, expert: number, edit: (ranks: number[]) => void): void => {
    const ranks = hostsOf(layer, expert);
    shift(layer, expert, ranks.length, -1);
    edit(ranks);
    shift(layer, expert, ranks.length, 1);
  };

  hosts.forEach((byExpert, layer) =>
    byExpert.forEach((ranks, expert) => {
      ranks.forEach((rank) => heldBy(rank, layer).push(expert));
      shift(layer, expert, ranks.length, 1);
    }),
  );

  return {
    times,
    hosts: hostsOf,
    held: heldBy,
    cost,
    add: (layer, expert, rank) => {
      change(layer, expert, (ranks) => ranks.push(rank));
      heldBy(rank, layer).push(expert);
    },
    remove: (layer, expert, rank) => {
      change(layer, expert, (ranks) => ranks.splice(ranks.indexOf(rank), 1));
      const experts = heldBy(rank, layer);
      experts.splice(experts.indexOf(expert), 1);
    },
    layers: () =>
      hosts.map((byExpert) =>
        byExpert.map((ranks, expert) => ({ expert, ranks: [...ranks].sort((a, b) => a - b) })),
      ),
  };
};

/** The slowest rank's time; it is the group's. */
export const slowest = (state: PlacementState): number => Math.max(...state.times);

/** Time of a step if the work were spread so that all ranks, at their speeds, end together. */
export const evenTime = ({ speeds }: LoadView): number =>
  speeds.length / speeds.reduce((sum, speed) => sum + speed, 0);
