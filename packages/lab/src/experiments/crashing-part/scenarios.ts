/** What goes wrong besides the requests that crash upstreams. */

/** One scenario; fields that are missing have no effect. */
export interface Scenario {
  name: string;
  /** All entries are killed at these crashes, counted from 1. */
  killEntriesAtCrashes?: readonly number[];
  /** The store doesn't answer from the first crash on. */
  isStoreAway?: boolean;
  /** One entry knows none of the others, and none of them knows it. */
  isEntryCutOff?: boolean;
  /** Number of parts on which upstreams crash; 1 by default. */
  crashParts?: number;
  /** Such a part is the first one of its prompts. */
  isFirstPart?: boolean;
  /** Upstreams are killed in numbers; no part is harmful. */
  isMassCrash?: boolean;
  /** Some requests have no stream. */
  isMixed?: boolean;
  /** Upstreams are ranks of one group: one crash stops all of them. */
  isGroup?: boolean;
}

/** All scenarios. */
export const SCENARIOS: readonly Scenario[] = [
  { name: 'nothing' },
  { name: 'entries-killed', killEntriesAtCrashes: [3, 6] },
  { name: 'store-away', isStoreAway: true },
  { name: 'entry-cut-off', isEntryCutOff: true },
  { name: 'two-parts', crashParts: 2 },
  { name: 'first-part', isFirstPart: true },
  { name: 'mass-crash', isMassCrash: true, crashParts: 0 },
  { name: 'mixed-kinds', isMixed: true },
  { name: 'group', isGroup: true },
];
