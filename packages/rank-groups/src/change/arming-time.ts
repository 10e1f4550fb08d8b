/**
 * How many passes ahead a pass is held, so that all ranks are armed before it would begin.
 *
 * The pattern: the group stands still from where a held pass would have begun until its last rank is armed,
 * and that time is a pause in every stream. In a group of 63 ranks passes took 100 ms, arming 70 to 190,
 * and a pass held one or two ahead began after 200 to 264: each change of map made every stream late, and
 * there was more than one change in the time of a stream. So the lead follows what arming takes, from the report
 * on by which the pass is counted. With four passes at the most, counted from the hold on, an emulated group of
 * 72 ranks had 68 to 86 in 100 streams on time where an order took 60 ms, and 27 to 43 where it took 120; it has
 * 99 of both.
 *
 * A pass further ahead costs one more pass with the uneven map. While passes are as short as callers want, no stream
 * is late by it, and every stream by a pass that waits; where passes are too long already it is the other way round,
 * and the soonest pass is taken.
 */

import { createEstimate } from '@plantaindrum/common';

/** The time of arming a group, as it was observed. */
export interface ArmingTime {
  /** A group was armed this long after the report from which its held pass was counted, in ms. */
  note(ms: number): void;
  /** Passes between the one that runs and the one to hold. */
  lead(group: PassingGroup): number;
}

/** What is known of a group whose pass is to be held, in ms. */
export interface PassingGroup {
  /** Time of a pass at present. */
  passMs: number;
  /** How long all ranks have just taken to answer an order. */
  orderMs: number;
  /** Longest pause that streams of the group are to have; undefined where none is declared. */
  targetMs: number | undefined;
}

/** Least time of arming that is reckoned with before any was observed, in ms: two answers of all ranks. */
const FIRST_MS = 70;
/** Orders to all ranks from the report on: whether all are there, and arming. */
const ORDERS_TO_ALL = 2;
/** The first deviation is narrow: a group that forms anew needs its first maps soonest. */
const WEIGHTS = { mean: 0.2, deviation: 0.25, firstDeviation: 0.25 };
/** Arming takes longer than the mean by this many deviations about once in twenty times. */
const DEVIATIONS = 2;
/** The pass that runs ends at any time; it is not counted on. */
const RUNNING = 1;
/**
 * A pass is held no further ahead than this, in ms, however long arming takes: the uneven map stays in use until
 * then. Half of the second within which a shift should be followed by a better map.
 */
const MOST_AHEAD_MS = 500;

/** Creates the record. */
export const createArmingTime = (): ArmingTime => {
  const observed = createEstimate(WEIGHTS);

  /** Time of arming to be expected; in all but one of twenty times it takes less than `most`. */
  const expected = (orderMs: number): { mean: number; most: number } => {
    const { mean, deviation } = observed.usual() ?? { mean: FIRST_MS, deviation: 0 };
    // An order that has just taken long says that links or VMs have turned slow before arming shows it.
    const least = Math.max(mean, ORDERS_TO_ALL * orderMs);
    return { mean: least, most: Math.max(least, mean + DEVIATIONS * deviation) };
  };

  return {
    note: observed.note,
    lead: ({ passMs, orderMs, targetMs = Infinity }) => {
      const { mean, most } = expected(orderMs);
      // Streams are late already: the soonest is best, and waiting costs them less than one more long pass.
      if (passMs > targetMs) return Math.max(1, Math.round(Math.min(MOST_AHEAD_MS, mean) / passMs));
      return RUNNING + Math.ceil(Math.min(MOST_AHEAD_MS, most) / Math.max(1, passMs));
    },
  };
};
