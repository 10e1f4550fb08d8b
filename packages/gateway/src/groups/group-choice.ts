/**
 * Withholds part of the new streams from a rank group whose passes are long.
 *
 * All streams of a group wait for each of its passes, so long passes make every further stream late, however many slots
 * are free there. Which upstream gets a stream follows from the free slots of all groups, as before; a group with long
 * passes is left out of a fraction of the choices. The fraction changes slowly: after a shift of expert demand passes
 * are long for a few hundred milliseconds, and when all streams left the group for that, the other one was full.
 */

import type { Clock, Random } from '@plantaindrum/common';

/** A group that may be chosen. */
export interface GroupCandidate {
  name: string;
  /** Streams in flight at all entries, and slots, at its upstreams that may be used. */
  streams: number;
  slots: number;
  /** Recent pause between two events of its streams, in ms; undefined without recent events. */
  passMs: number | undefined;
  /** Whether it takes up another stream now; false for a group that has just opened and has had its part. */
  isReady: boolean;
}

/** Choice between the groups of a service. */
export interface GroupChoice {
  /** Returns the names of the groups that the next stream may go to. */
  choose(candidates: readonly GroupCandidate[]): readonly string[];
  /** Fraction of new streams that is withheld from a group. */
  withheld(group: string): number;
}

/** Passes longer than those of the fastest group by this factor count as long; otherwise they differ by a fifth. */
const LONG_FACTOR = 1.3;
/** Largest fraction that is withheld: the other group can't hold all streams. */
const MAX_WITHHELD = 0.5;
/** Largest change of the fraction, per ms: after 300 ms of long passes 0.15 of the new streams are withheld. */
const GROWTH_PER_MS = 0.5 / 1_000;
/** The same when passes are short again: given back at once, the streams would make them long before that shows. */
const RETURN_PER_MS = 0.25 / 1_000;
/** Fraction of the slots in use from which a group doesn't take the streams that are withheld from another one. */
const FULL_FRACTION = 0.85;
/** Longest time that one change of the fraction covers, in ms; an entry without requests has no choices to make. */
const MAX_INTERVAL_MS = 300;

interface Withheld {
  fraction: number;
  updatedAt: number;
}

/** Creates the choice between groups; nothing is withheld at first. */
export const createGroupChoice = (clock: Clock, random: Random): GroupChoice => {
  const byGroup = new Map<string, Withheld>();

  /** Moves the fraction towards the one at which passes would be as long as the fastest. */
  const update = ({ name, passMs }: GroupCandidate, fastestMs: number): number => {
    const now = clock.monotonic();
    const withheld = byGroup.get(name) ?? { fraction: 0, updatedAt: now };
    const elapsedMs = Math.min(MAX_INTERVAL_MS, now - withheld.updatedAt);
    const isLong = passMs !== undefined && passMs > fastestMs * LONG_FACTOR;
    const wanted = isLong ? Math.min(MAX_WITHHELD, 1 - fastestMs / passMs) : 0;
    const change = Math.max(
      -RETURN_PER_MS * elapsedMs,
      Math.min(GROWTH_PER_MS * elapsedMs, wanted - withheld.fraction),
    );
    byGroup.set(name, { fraction: withheld.fraction + change, updatedAt: now });
    return withheld.fraction + change;
  };

  const hasRoom = ({ streams, slots }: GroupCandidate): boolean => streams < slots * FULL_FRACTION;

  return {
    choose: (candidates) => {
      const fastestMs = Math.min(...candidates.map(({ passMs }) => passMs ?? Infinity));
      const fractions = new Map(candidates.map((each) => [each.name, update(each, fastestMs)]));
      const takers = candidates.filter(
        (each) => each.isReady && hasRoom(each) && fractions.get(each.name) === 0,
      );
      const kept = candidates.filter(({ name, isReady }) => {
        const hasOther = takers.some((taker) => taker.name !== name);
        return !hasOther || (isReady && random() >= (fractions.get(name) ?? 0));
      });
      return kept.map(({ name }) => name);
    },
    withheld: (group) => byGroup.get(group)?.fraction ?? 0,
  };
};
