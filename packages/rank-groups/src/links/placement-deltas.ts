/** Maps on links between agents, as the difference to one that the receiver has had. */

import type { Placement } from '../types.js';

/** Experts of one rank in one set, where they differ from the base. */
export type RankChange = readonly [set: number, rank: number, experts: readonly number[]];

/** A map as the difference to an earlier one of the same epoch. */
export interface PlacementDelta {
  /** Version that the changes apply to. */
  base: number;
  changes: RankChange[];
}

interface Known {
  epoch: number;
  version: number;
  placement: Placement;
}

/** Maps that an agent has been sent, the newest few. */
export interface PlacementBook {
  put(epoch: number, version: number, placement: Placement): void;
  /** The map that a delta stands for; undefined when its base isn't known here. */
  rebuild(epoch: number, delta: PlacementDelta): Placement | undefined;
}

/** A change that is given up leaves its map unused; the one in use is among the last few. */
const KEPT = 4;

const isSame = (a: readonly number[], b: readonly number[]): boolean =>
  a.length === b.length && a.every((expert, at) => expert === b[at]);

/** Where two maps of the same shape differ. */
export const changesBetween = (from: Placement, to: Placement): RankChange[] =>
  to.flatMap((ranks, set) =>
    ranks.flatMap((experts, rank): RankChange[] =>
      isSame(experts, from[set]?.[rank] ?? []) ? [] : [[set, rank, experts]],
    ),
  );

/** Creates an empty book. */
export const createPlacementBook = (): PlacementBook => {
  let known: Known[] = [];
  return {
    put: (epoch, version, placement) => {
      const others = known.filter((entry) => entry.epoch !== epoch || entry.version !== version);
      known = [...others, { epoch, version, placement }].slice(-KEPT);
    },
    rebuild: (epoch, { base, changes }) => {
      const found = known.find((entry) => entry.epoch === epoch && entry.version === base);
      if (!found) return undefined;
      const placement = found.placement.map((ranks) => [...ranks]);
      changes.forEach(([set, rank, experts]) => {
        const ranks = placement[set];
        if (ranks) ranks[rank] = [...experts];
      });
      return placement;
    },
  };
};

/** What a coordinator's agent has sent to each rank, to send differences after that. */
export interface SentPlacements {
  /** The difference to what the rank took last; undefined when it has taken none of this epoch. */
  deltaFor(rank: number, epoch: number, placement: Placement): PlacementDelta | undefined;
  noteTaken(rank: number, epoch: number, version: number, placement: Placement): void;
  forget(rank: number): void;
}

/** Creates an empty record. */
export const createSentPlacements = (): SentPlacements => {
  const taken = new Map<number, Known>();
  return {
    deltaFor: (rank, epoch, placement) => {
      const last = taken.get(rank);
      if (last?.epoch !== epoch) return undefined;
      return { base: last.version, changes: changesBetween(last.placement, placement) };
    },
    noteTaken: (rank, epoch, version, placement) => {
      taken.set(rank, { epoch, version, placement });
    },
    forget: (rank) => taken.delete(rank),
  };
};
