/** Placement of the experts of each layer on ranks. */
export interface ExpertMap {
  version: number;
  layers: { expert: number; ranks: number[] }[][];
}

/** Creates a map with one replica of each expert, assigned to the ranks round-robin. */
export const createRoundRobinMap = (
  version: number,
  layers: number,
  experts: number,
  rankCount: number,
): ExpertMap => ({
  version,
  layers: Array.from({ length: layers }, () =>
    Array.from({ length: experts }, (_, expert) => ({ expert, ranks: [expert % rankCount] })),
  ),
});

/** Returns the weights (layer and expert) that the given ranks need for a map. */
export const weightsForRanks = (
  map: ExpertMap,
  ranks: number[],
): { layer: number; expert: number }[] =>
  map.layers.flatMap((placements, layer) =>
    placements
      .filter((placement) => placement.ranks.some((rank) => ranks.includes(rank)))
      .map(({ expert }) => ({ layer, expert })),
  );
