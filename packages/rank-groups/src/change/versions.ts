import type { Random } from '@plantaindrum/common';
import type { RankReport } from '../types.js';

/** Versions that two coordinators might choose at the same time differ in these low bits. */
const SPREAD = 65_536;

/** The highest version that a report shows. */
export const versionsOf = ({ map, prepared, armed }: RankReport): number =>
  Math.max(map, prepared ?? 0, armed?.version ?? 0);

/**
 * A version above all that are known. Ranks don't compare the content of maps, so a number that two
 * coordinators gave to different maps would let ranks switch to both; the random part keeps numbers
 * of coordinators that don't know of each other apart.
 */
export const nextVersion = (highest: number, random: Random): number =>
  (Math.floor(highest / SPREAD) + 1) * SPREAD + Math.floor(random() * SPREAD);
