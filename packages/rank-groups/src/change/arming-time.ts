/**
 * Number of passes ahead at which a pass is held, so that all ranks are armed before it would
 * begin.
 *
 * A group stalls from the time at which the held pass would have begun until its last rank is
 * armed, and every stream pauses for that time. In a group of 63 ranks with passes of 100 ms,
 * arming took 70 to 190 ms, and a pass held one or two ahead began after 200 to 264 ms. Each map
 * change made every stream late, and there was more than one change in the lifetime of a stream.
 * Therefore the distance follows the observed arming time, measured from the report from which the
 * pass is counted. In an emulated group of 72 ranks, a limit of four passes counted from the hold
 * left 68 to 86 in 100 streams on time with orders that took 60 ms, and 27 to 43 with orders of 120
 * ms. Following the arming time leaves 99 on time in both cases.
 *
 * Each pass further ahead costs one more pass with the uneven map. While passes are as short as the
 * target, that makes no stream late, whereas a stalled pass makes every stream late. While passes
 * are already too long the opposite holds, and the earliest possible pass is held.
 */

import { createEstimate } from '@plantaindrum/common';

/** Estimate of the time that arming a group takes. */
export interface ArmingTime {
  /**
   * Records the time from the report from which a held pass was counted until the group was armed,
   * in ms.
   */
  record(ms: number): void;
  /** Returns the distance from the running pass to the one to hold, in passes. */
  passesAhead(group: GroupTiming): number;
}

/** Timing of a group whose pass is to be held, in ms. */
export interface GroupTiming {
  /** Current time of a pass. */
  passMs: number;
  /** Time in which all ranks answered the last order. */
  orderMs: number;
  /** Target for the longest pause in a stream; undefined if none is declared. */
  targetMs: number | undefined;
}

/** Expected arming time before any was observed, in ms: two answers from all ranks. */
const INITIAL_ARMING_MS = 70;
/** Requests to all ranks after the report: the liveness check and arming. */
const ORDERS_TO_ALL = 2;
/**
 * The initial deviation is small because a group that has just formed needs its first map changes
 * soonest.
 */
const WEIGHTS = { mean: 0.2, deviation: 0.25, firstDeviation: 0.25 };
/** Arming exceeds the mean by this many deviations about once in twenty times. */
const DEVIATIONS = 2;
/** The running pass may end at any time and is not counted on. */
const RUNNING_PASSES = 1;
/**
 * Maximum distance of a held pass, in ms, however long arming takes: the uneven map stays in use
 * until then. It is half of the second within which a better map should follow a shift.
 */
const MAX_AHEAD_MS = 500;

/** Creates an estimate without observations. */
export const createArmingTime = (): ArmingTime => {
  const observed = createEstimate(WEIGHTS);

  /** Expected arming time. It is below `max` in all but one of twenty cases. */
  const expected = (orderMs: number): { mean: number; max: number } => {
    const { mean, deviation } = observed.current() ?? { mean: INITIAL_ARMING_MS, deviation: 0 };
    // A slow order shows that links or VMs have become slow before arming shows it.
    const lowerBound = Math.max(mean, ORDERS_TO_ALL * orderMs);
    return { mean: lowerBound, max: Math.max(lowerBound, mean + DEVIATIONS * deviation) };
  };

  return {
    record: observed.record,
    passesAhead: ({ passMs, orderMs, targetMs = Infinity }) => {
      const { mean, max } = expected(orderMs);
      // Streams are already late: stalling in the earliest pass costs less than another long pass.
      if (passMs > targetMs) return Math.max(1, Math.round(Math.min(MAX_AHEAD_MS, mean) / passMs));
      return RUNNING_PASSES + Math.ceil(Math.min(MAX_AHEAD_MS, max) / Math.max(1, passMs));
    },
  };
};
