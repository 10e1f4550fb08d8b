import type { Random } from '@plantaindrum/common';
import type { RankReport } from '../types.js';

/**
 * Range of the random low part of a version, in which versions chosen by two coordinators at the
 * same time differ.
 */
const RANDOM_RANGE = 65_536;

/** Returns the highest version that a report shows. */
export const highestVersionOf = ({ map, prepared, armed }: RankReport): number =>
  Math.max(map, prepared ?? 0, armed?.version ?? 0);

/**
 * Returns a version above all known ones. Ranks don't compare the content of maps, so a version
 * that two coordinators gave to different maps would let ranks switch to both. The random part
 * keeps versions of coordinators that don't know of each other apart.
 */
export const nextVersion = (highest: number, random: Random): number =>
  (Math.floor(highest / RANDOM_RANGE) + 1) * RANDOM_RANGE + Math.floor(random() * RANDOM_RANGE);
