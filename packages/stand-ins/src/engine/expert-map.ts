/** Where the experts of each layer live. */
export interface ExpertMap {
  version: number;
  layers: { expert: number; ranks: number[] }[][];
}

/** One replica of every expert, dealt out to the ranks in turn. */
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

/** The weights (layer and expert) that a map puts on some ranks. */
export const weightsOn = (map: ExpertMap, ranks: number[]): { layer: number; expert: number }[] =>
  map.layers.flatMap((placements, layer) =>
    placements
      .filter((placement) => placement.ranks.some((rank) => ranks.includes(rank)))
      .map(({ expert }) => ({ layer, expert })),
  );
