/** Maps on links between agents: whole, or as the difference to one that the receiver has had. */

import type { Placement } from '../types.js';
import { deflateNumbers, inflateNumbers } from '../tree/packing.js';

/** Experts of one rank in one set, where they differ from the base. */
export type RankChange = readonly [set: number, rank: number, experts: readonly number[]];

/** A map as it is told; `base` is the version of the same epoch that the changes apply to. */
export type ToldMap =
  { form: 'whole'; bytes: Uint8Array } | { form: 'changes'; base: number; bytes: Uint8Array };

interface Known {
  epoch: number;
  version: number;
  placement: Placement;
}

/** Maps that an agent knows, the newest few. */
export interface PlacementBook {
  put(epoch: number, version: number, placement: Placement): void;
  find(epoch: number, version: number): Placement | undefined;
  /** The map that was told; undefined when its base isn't known here, or it is no map. */
  resolve(epoch: number, told: ToldMap): Placement | undefined;
}

/** A change that is given up leaves its map unused; the one in use is among the last few. */
const KEPT = 6;

const isSame = (a: readonly number[], b: readonly number[]): boolean =>
  a.length === b.length && a.every((expert, at) => expert === b[at]);

/** Where two maps of the same shape differ. */
export const changesBetween = (from: Placement, to: Placement): RankChange[] =>
  to.flatMap((ranks, set) =>
    ranks.flatMap((experts, rank): RankChange[] =>
      isSame(experts, from[set]?.[rank] ?? []) ? [] : [[set, rank, experts]],
    ),
  );

const listed = (experts: readonly number[]): number[] => [experts.length, ...experts];

/** Tells a map whole: the number of ranks, then each rank's experts with their number, set by set. */
export const tellWhole = (placement: Placement): ToldMap => {
  const numbers = [placement[0]?.length ?? 0, ...placement.flatMap((set) => set.flatMap(listed))];
  return { form: 'whole', bytes: deflateNumbers(numbers) };
};

/** Tells a map as the difference to another. */
export const tellChanges = (base: number, from: Placement, to: Placement): ToldMap => {
  const numbers = changesBetween(from, to).flatMap(([set, rank, experts]) => [
    set,
    rank,
    ...listed(experts),
  ]);
  return { form: 'changes', base, bytes: deflateNumbers(numbers) };
};

/** Reads numbers one after the other. */
const createReader = (numbers: readonly number[]) => {
  let at = 0;
  const next = (): number => {
    at += 1;
    return numbers[at - 1] ?? 0;
  };
  return {
    next,
    isAtEnd: () => at >= numbers.length,
    experts: (): number[] => Array.from({ length: Math.min(next(), numbers.length) }, next),
  };
};

const readWhole = (bytes: Uint8Array): Placement | undefined => {
  const numbers = inflateNumbers(bytes);
  if (!numbers) return undefined;
  const reader = createReader(numbers);
  const ranks = reader.next();
  if (ranks === 0) return undefined;
  const placement: Placement = [];
  while (!reader.isAtEnd()) placement.push(Array.from({ length: ranks }, reader.experts));
  return placement;
};

const applyChanges = (base: Placement, bytes: Uint8Array): Placement | undefined => {
  const numbers = inflateNumbers(bytes);
  if (!numbers) return undefined;
  const placement = base.map((ranks) => [...ranks]);
  for (const reader = createReader(numbers); !reader.isAtEnd();) {
    const [set, rank] = [reader.next(), reader.next()];
    const experts = reader.experts();
    const ranks = placement[set];
    if (!ranks || rank >= ranks.length) return undefined;
    ranks[rank] = experts;
  }
  return placement;
};

/** Creates an empty book. */
export const createPlacementBook = (): PlacementBook => {
  let known: Known[] = [];

  const find = (epoch: number, version: number): Placement | undefined =>
    known.find((entry) => entry.epoch === epoch && entry.version === version)?.placement;

  return {
    put: (epoch, version, placement) => {
      const others = known.filter((entry) => entry.epoch !== epoch || entry.version !== version);
      known = [...others, { epoch, version, placement }].slice(-KEPT);
    },
    find,
    resolve: (epoch, told) => {
      if (told.form === 'whole') return readWhole(told.bytes);
      const base = find(epoch, told.base);
      return base && applyChanges(base, told.bytes);
    },
  };
};
