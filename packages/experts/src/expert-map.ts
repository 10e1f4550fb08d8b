import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { ExpertMapDocument, ExpertPlacement, GroupLayout } from './types.js';

/** A violated rule of an expert map. */
export type MapFault =
  | { fault: 'no-replica'; layer: number; expert: number }
  | { fault: 'unknown-rank'; layer: number; expert: number; rank: number }
  | { fault: 'twice-on-rank'; layer: number; expert: number; rank: number }
  | { fault: 'unknown-expert'; layer: number; expert: number }
  | { fault: 'rank-full'; layer: number; rank: number; replicas: number }
  | { fault: 'wrong-layers'; layers: number }
  | { fault: 'version-not-larger'; version: number; current: number };

/** An expert that a rank has to load. */
export interface ExpertMove {
  layer: number;
  expert: number;
  rank: number;
}

/** A valid expert map. Its successor must be valid and have a larger version. */
export interface ExpertMap {
  readonly document: ExpertMapDocument;
  readonly layout: GroupLayout;
  /** Creates the successor of this map, if the document is valid. */
  next(document: ExpertMapDocument): Result<ExpertMap, MapFault[]>;
}

const faultsOfPlacement = (
  { expert, ranks }: ExpertPlacement,
  layer: number,
  layout: GroupLayout,
): MapFault[] => {
  const unknown = ranks.filter((rank) => rank < 0 || rank >= layout.rankCount);
  const duplicated = ranks.filter((rank, at) => ranks.indexOf(rank) !== at);
  return [
    ...unknown.map((rank): MapFault => ({ fault: 'unknown-rank', layer, expert, rank })),
    ...duplicated.map((rank): MapFault => ({ fault: 'twice-on-rank', layer, expert, rank })),
  ];
};

const replicasByRank = (placements: readonly ExpertPlacement[]): Map<number, number> => {
  const counts = new Map<number, number>();
  for (const rank of placements.flatMap(({ ranks }) => ranks)) {
    counts.set(rank, (counts.get(rank) ?? 0) + 1);
  }
  return counts;
};

const faultsOfLayer = (
  placements: readonly ExpertPlacement[],
  layer: number,
  layout: GroupLayout,
): MapFault[] => {
  const placed = new Set(
    placements.filter(({ ranks }) => ranks.length > 0).map(({ expert }) => expert),
  );
  const experts = Array.from({ length: layout.experts }, (_, expert) => expert);
  const missing = experts.filter((expert) => !placed.has(expert));
  const unknown = [...placed].filter((expert) => expert < 0 || expert >= layout.experts);
  const full = [...replicasByRank(placements)].filter(([, replicas]) => replicas > layout.slots);
  return [
    ...missing.map((expert): MapFault => ({ fault: 'no-replica', layer, expert })),
    ...unknown.map((expert): MapFault => ({ fault: 'unknown-expert', layer, expert })),
    ...placements.flatMap((placement) => faultsOfPlacement(placement, layer, layout)),
    ...full.map(([rank, replicas]): MapFault => ({ fault: 'rank-full', layer, rank, replicas })),
  ];
};

/** Returns all violated rules of a map. */
export const faultsOfMap = (document: ExpertMapDocument, layout: GroupLayout): MapFault[] => {
  const { layers } = document;
  if (layers.length !== layout.layers) return [{ fault: 'wrong-layers', layers: layers.length }];
  return layers.flatMap((placements, layer) => faultsOfLayer(placements, layer, layout));
};

/** Creates an expert map from a valid document. */
export const createExpertMap = (
  document: ExpertMapDocument,
  layout: GroupLayout,
): Result<ExpertMap, MapFault[]> => {
  const faults = faultsOfMap(document, layout);
  if (faults.length > 0) return fail(faults);
  return ok({
    document,
    layout,
    next: (nextDocument) => {
      const { version } = nextDocument;
      if (version > document.version) return createExpertMap(nextDocument, layout);
      return fail([{ fault: 'version-not-larger', version, current: document.version }]);
    },
  });
};

/** Returns the experts that ranks have to load to change from one map to another. */
export const movesBetween = (
  from: readonly ExpertPlacement[][],
  to: readonly ExpertPlacement[][],
): ExpertMove[] =>
  to.flatMap((placements, layer) => {
    const old = new Map((from[layer] ?? []).map(({ expert, ranks }) => [expert, new Set(ranks)]));
    return placements.flatMap(({ expert, ranks }) =>
      ranks.filter((rank) => !old.get(expert)?.has(rank)).map((rank) => ({ layer, expert, rank })),
    );
  });

/**
 * Returns an even map, for a group without load data. Every expert has the same number of replicas,
 * as many as there are ranks for, and placements are rotated from layer to layer.
 */
export const evenLayers = (layout: GroupLayout): ExpertPlacement[][] => {
  const { rankCount, experts } = layout;
  const replicas = Math.max(1, Math.floor(rankCount / experts));
  return Array.from({ length: layout.layers }, (_, layer) =>
    Array.from({ length: experts }, (__, expert) => ({
      expert,
      ranks: Array.from(
        { length: replicas },
        (___, replica) => (expert + replica * experts + layer) % rankCount,
      ),
    })),
  );
};
