/**
 * Where an agent learns its group's shape. The pattern: all agents of a group start together and need the same few
 * numbers, which only the one that coordinates uses; each would ask the platform for them until the operators have
 * written them, and each call is paid for. So those that coordinate next read them, and the others ask over their
 * links; only where nobody below is linked they read for themselves.
 */

import { isNumber, isObject, sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';
import type { GroupShape } from '../types.js';

/** Options of `awaitShape`. */
export interface ShapeSources {
  /** Reads it from the platform; undefined while it isn't known there. */
  read: () => Promise<GroupShape | undefined>;
  /** Asks the lowest linked agent; undefined where it doesn't know, or none is linked. */
  ask: () => Promise<GroupShape | undefined>;
  rank: number;
  isLowest: () => boolean;
  isStopped: () => boolean;
  clock: Clock;
}

/** Lowest ranks that read for themselves: the one that coordinates and those that may have to next. */
const READING_RANKS = 4;
/** Pause between two tries, in ms; each reading is paid for. */
const AGAIN_MS = 1_500;
/** Time for links to come about, in ms: until then each agent is the lowest that it knows of. */
const LINKING_MS = 2_000;

/** Whether the agent of a rank coordinates, or is one of those that may have to next. */
export const coordinatesSoon = (rank: number): boolean => rank < READING_RANKS;

/** Reads a shape that another agent tells; undefined when it isn't one. */
export const readToldShape = (value: unknown): GroupShape | undefined => {
  if (!isObject(value)) return undefined;
  const { sets, experts, places, spare, copyMs, targetPauseMs } = value;
  if (!isNumber(sets) || !isNumber(experts) || !isNumber(places)) return undefined;
  if (!isNumber(spare) || !isNumber(copyMs)) return undefined;
  const pause = isNumber(targetPauseMs) ? targetPauseMs : undefined;
  return { sets, experts, places, spare, copyMs, targetPauseMs: pause };
};

/** Resolves with the shape of a group that has experts; undefined when the agent stops before. */
export const awaitShape = async (sources: ShapeSources): Promise<GroupShape | undefined> => {
  const { read, ask, rank, isLowest, isStopped, clock } = sources;
  const began = clock.monotonic();
  while (!isStopped()) {
    const isLinking = clock.monotonic() - began < LINKING_MS;
    const readsItself = coordinatesSoon(rank) || (isLowest() && !isLinking);
    const shape = readsItself ? await read() : await ask();
    if (shape && shape.sets > 0) return shape;
    await sleep(clock, AGAIN_MS);
  }
  return undefined;
};
