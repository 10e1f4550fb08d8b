/**
 * Encodes maps for links between agents, either in full or as the delta to a map that the receiver
 * knows, and caches the maps that an agent knows.
 */

import type { Placement } from '../types.js';
import { deflateNumbers, inflateNumbers } from '../tree/packing.js';

/** Experts of one rank in one set that differ from the base map. */
export type RankChange = readonly [set: number, rank: number, experts: readonly number[]];

/** A map as it is sent. `base` is the version, of the same epoch, to which a delta applies. */
export type EncodedMap =
  { form: 'whole'; bytes: Uint8Array } | { form: 'changes'; base: number; bytes: Uint8Array };

interface CachedPlacement {
  epoch: number;
  version: number;
  placement: Placement;
}

/** The latest maps that an agent knows. */
export interface PlacementCache {
  put(epoch: number, version: number, placement: Placement): void;
  find(epoch: number, version: number): Placement | undefined;
  /** Decodes a received map; undefined when its base isn't cached or the data is invalid. */
  decode(epoch: number, encoded: EncodedMap): Placement | undefined;
}

/**
 * Maximum number of cached maps. Aborted changes leave unused maps behind, and the map in use is
 * among the last few.
 */
const MAX_CACHED_MAPS = 6;

const isSameList = (a: readonly number[], b: readonly number[]): boolean =>
  a.length === b.length && a.every((expert, at) => expert === b[at]);

/** Lists the differences between two maps of the same shape. */
export const diffPlacements = (from: Placement, to: Placement): RankChange[] =>
  to.flatMap((ranks, set) =>
    ranks.flatMap((experts, rank): RankChange[] =>
      isSameList(experts, from[set]?.[rank] ?? []) ? [] : [[set, rank, experts]],
    ),
  );

const withLength = (experts: readonly number[]): number[] => [experts.length, ...experts];

/**
 * Encodes a full map: the number of ranks, then for each set and rank the number of experts and the
 * experts.
 */
export const encodeFullMap = (placement: Placement): EncodedMap => {
  const numbers = [
    placement[0]?.length ?? 0,
    ...placement.flatMap((set) => set.flatMap(withLength)),
  ];
  return { form: 'whole', bytes: deflateNumbers(numbers) };
};

/** Encodes a map as the delta to another one. */
export const encodeMapDelta = (base: number, from: Placement, to: Placement): EncodedMap => {
  const numbers = diffPlacements(from, to).flatMap(([set, rank, experts]) => [
    set,
    rank,
    ...withLength(experts),
  ]);
  return { form: 'changes', base, bytes: deflateNumbers(numbers) };
};

/** Reads numbers in sequence. */
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

const decodeFullMap = (bytes: Uint8Array): Placement | undefined => {
  const numbers = inflateNumbers(bytes);
  if (!numbers) return undefined;
  const reader = createReader(numbers);
  const ranks = reader.next();
  if (ranks === 0) return undefined;
  const placement: Placement = [];
  while (!reader.isAtEnd()) placement.push(Array.from({ length: ranks }, reader.experts));
  return placement;
};

const decodeMapDelta = (base: Placement, bytes: Uint8Array): Placement | undefined => {
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

/** Creates an empty cache. */
export const createPlacementCache = (): PlacementCache => {
  let cached: CachedPlacement[] = [];

  const find = (epoch: number, version: number): Placement | undefined =>
    cached.find((entry) => entry.epoch === epoch && entry.version === version)?.placement;

  return {
    put: (epoch, version, placement) => {
      const others = cached.filter((entry) => entry.epoch !== epoch || entry.version !== version);
      cached = [...others, { epoch, version, placement }].slice(-MAX_CACHED_MAPS);
    },
    find,
    decode: (epoch, encoded) => {
      if (encoded.form === 'whole') return decodeFullMap(encoded.bytes);
      const base = find(epoch, encoded.base);
      return base && decodeMapDelta(base, encoded.bytes);
    },
  };
};
