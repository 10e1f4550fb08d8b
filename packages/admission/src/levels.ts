/**
 * Levels of waiting requests, in the order in which they are sent: streams that have begun, requests that can still
 * meet their target by priority, and then those that can't any more, by priority as well.
 *
 * Load pattern: hundreds of callers that have waited for a group to open. Sent first, they made passes long and took the
 * room from new callers, so that those were late too.
 */

/** Level of streams that have begun. */
export const BEGUN_LEVEL = -1;
/** Added to the priority of a request that can't meet its target any more; priorities are below. */
const LATE_OFFSET = 100;
/** Fraction of the free room that each level keeps, so that a long burst of urgent requests doesn't exclude it. */
const MIN_SHARE = 0.05;
/** The same for all levels of late requests together. */
const LATE_MIN_SHARE = 0.1;

/** Level of a request of this priority that can't meet its target any more. */
export const lateLevelOf = (priority: number): number => LATE_OFFSET + priority;

/** Whether the requests of a level can't meet their targets any more. */
export const isLateLevel = (level: number): boolean => level >= LATE_OFFSET;

/** Fraction of the free room that a level keeps, among the levels that have waiting requests. */
export const minShareOf = (level: number, levels: readonly number[]): number =>
  isLateLevel(level) ? LATE_MIN_SHARE / Math.max(1, levels.filter(isLateLevel).length) : MIN_SHARE;
