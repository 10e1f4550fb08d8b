/**
 * How many passes ahead a pass is held, so that all ranks are armed before it would begin.
 *
 * The pattern: the group stands still from where a held pass would have begun until its last rank is armed,
 * and that time is a pause in every stream. In a group of 63 ranks passes took 100 ms, arming 70 to 190,
 * and a pass held one or two ahead began after 200 to 264: each change of map made every stream late, and
 * there was more than one change in the time of a stream. A pass further ahead costs only one more pass with
 * the map that has been in use until then.
 */

/** The time of arming a group, as it was observed. */
export interface ArmingTime {
  /** A group was armed this long after its pass was held, in ms. */
  note(ms: number): void;
  /** Passes between the one that runs and the one to hold, where a pass takes this long, in ms. */
  lead(passMs: number): number;
}

/** Time of arming before any was observed, in ms: two answers of all ranks. */
const FIRST_MS = 70;
const MEAN_WEIGHT = 0.2;
const DEVIATION_WEIGHT = 0.25;
/** Arming takes longer than the mean by this many deviations about once in twenty times. */
const DEVIATIONS = 2;
/** The pass that runs ends at any time; it is not counted on. */
const RUNNING = 1;
/** Passes ahead at the most, however long arming takes: each goes on with the uneven map. */
const MOST_LEAD = 4;

/** Creates the record. */
export const createArmingTime = (): ArmingTime => {
  let mean = FIRST_MS;
  let deviation = FIRST_MS / 4;
  return {
    note: (ms) => {
      deviation += (Math.abs(ms - mean) - deviation) * DEVIATION_WEIGHT;
      mean += (ms - mean) * MEAN_WEIGHT;
    },
    lead: (passMs) => {
      const passes = (mean + DEVIATIONS * deviation) / Math.max(1, passMs);
      return Math.min(MOST_LEAD, RUNNING + Math.ceil(passes));
    },
  };
};
