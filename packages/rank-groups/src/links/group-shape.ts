/**
 * Source of an agent's group shape.
 *
 * All agents of a group start together and need the same few numbers, which only the coordinator
 * uses. If each requested them from the platform until the operators have written them, each of
 * these billed calls would be repeated by every agent. So only agents that may coordinate next read
 * the platform. The others request the shape over their links, and read the platform only while no
 * lower rank is linked.
 */

import { isNumber, isObject, sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';
import type { GroupShape } from '../types.js';

/** Options of `awaitShape`. */
export interface AwaitShapeOptions {
  /** Reads the shape from the platform; undefined while it isn't known there. */
  read: () => Promise<GroupShape | undefined>;
  /**
   * Requests the shape from the lowest linked agent; undefined when that doesn't know it, or none
   * is linked.
   */
  request: () => Promise<GroupShape | undefined>;
  rank: number;
  isLowest: () => boolean;
  /** Whether a failed attempt is repeated soon, as a group of several reopens without its map. */
  isUrgent?: () => boolean;
  isStopped: () => boolean;
  clock: Clock;
}

/**
 * Number of lowest ranks whose agents read the platform: the coordinator and those that may
 * coordinate next.
 */
const MAX_READING_RANKS = 4;
/** Pause between two attempts, in ms; each call to the platform is billed. */
const RETRY_DELAY_MS = 1_500;
/**
 * The same for urgent attempts, in ms: a group opens 0.6 s after its last rank is back, and the
 * store may be back just before.
 */
const URGENT_RETRY_DELAY_MS = 400;
/**
 * Time for links to be established, in ms: until then each agent is the lowest that it knows of.
 */
const LINKING_PERIOD_MS = 2_000;

/** Whether the agent of a rank coordinates or may coordinate next. */
export const mayCoordinateNext = (rank: number): boolean => rank < MAX_READING_RANKS;

/** Validates a shape received from another agent; undefined when it is invalid. */
export const readShape = (value: unknown): GroupShape | undefined => {
  if (!isObject(value)) return undefined;
  const { sets, experts, places, spare, copyMs, targetPauseMs } = value;
  if (!isNumber(sets) || !isNumber(experts) || !isNumber(places)) return undefined;
  if (!isNumber(spare) || !isNumber(copyMs)) return undefined;
  const pause = isNumber(targetPauseMs) ? targetPauseMs : undefined;
  return { sets, experts, places, spare, copyMs, targetPauseMs: pause };
};

/**
 * Resolves with the shape of a group that has experts; undefined when the agent stops before that.
 */
export const awaitShape = async (sources: AwaitShapeOptions): Promise<GroupShape | undefined> => {
  const { read, request, rank, isLowest, isStopped, clock } = sources;
  const isUrgent = sources.isUrgent ?? (() => false);
  const startedAt = clock.monotonic();
  while (!isStopped()) {
    const isLinking = clock.monotonic() - startedAt < LINKING_PERIOD_MS;
    const readsFromPlatform = mayCoordinateNext(rank) || (isLowest() && !isLinking);
    const shape = readsFromPlatform ? await read() : await request();
    if (shape && shape.sets > 0) return shape;
    await sleep(clock, isUrgent() ? URGENT_RETRY_DELAY_MS : RETRY_DELAY_MS);
  }
  return undefined;
};
