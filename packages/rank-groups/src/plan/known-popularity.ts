/** Popularity that a coordinator plans by: its own counts, or what was kept from before its start. */

import type { Popularity } from './popularity.js';

/** Shares of each expert, set by set. */
export type Shares = readonly (readonly number[])[];

/** Popularity kept outside the processes of a group. */
export interface KeptPopularity {
  /** Whether popularity is kept, so that the first map of a group is planned from it. */
  isActive(): boolean;
  /** Popularity from before the start of this process; undefined when there is none. */
  shares(): Shares | undefined;
  /** Writes the current popularity if the kept one is outdated. */
  offer(shares: Shares): void;
}

/** Popularity, and whether this process has observed it itself. */
export interface EarlierPopularity {
  source: 'memory' | 'record';
  shares: Shares;
}

/** Popularity known to a coordinator. */
export interface KnownPopularity {
  /** Whether popularity is kept for this group. */
  isKept(): boolean;
  /** The latest popularity, however old it is. */
  earlier(): EarlierPopularity | undefined;
  /**
   * Popularity of an open group, which is kept. `isOpening`: the group has been open for so short
   * that the popularity from before applies until there are counts.
   */
  current(isOpening: boolean): Shares | undefined;
}

/** Joins a coordinator's own counts and the popularity that is kept. */
export const createKnownPopularity = (
  observed: Popularity,
  keptPopularity: KeptPopularity | undefined,
): KnownPopularity => {
  const kept = (): KeptPopularity | undefined =>
    keptPopularity?.isActive() === true ? keptPopularity : undefined;
  return {
    isKept: () => kept() !== undefined,
    earlier: () => {
      const own = observed.shares();
      if (own) return { source: 'memory', shares: own };
      const shares = kept()?.shares();
      return shares && { source: 'record', shares };
    },
    current: (isOpening) => {
      const own = observed.shares();
      if (own) kept()?.offer(own);
      return own ?? (isOpening ? kept()?.shares() : undefined);
    },
  };
};
