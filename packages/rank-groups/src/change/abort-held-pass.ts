/** Ensures that no rank switches maps at a held pass, so that the pass can be released. */

import type { Clock, Random } from '@plantaindrum/common';
import type { Placement, RankReport } from '../types.js';
import type { GroupPort } from './group-port.js';
import { freshReports, retryAtRanks } from './group-port.js';
import { nextVersion, highestVersionOf } from './versions.js';

/** Options of `abortHeldPass`. */
export interface AbortOptions {
  port: GroupPort;
  clock: Clock;
  random: Random;
}

/** A held pass that is to begin with the map in use. */
export interface PassToAbort {
  epoch: number;
  step: number;
  /** The map in use. It is prepared again under a higher version, which copies nothing. */
  current: Placement;
}

const ranksOf = (reports: readonly RankReport[]): number[] => reports.map(({ rank }) => rank);

/**
 * Makes one attempt; true when no rank is armed for the pass and none can be any more. An arm order
 * that is still in flight needs its version to be prepared, and a rank keeps only one prepared
 * version, so preparing a newer one causes the arm order to be refused. A version is armed for one
 * pass only. A rank that is armed for another pass therefore no longer has the version of this pass
 * prepared, and it is left alone because it belongs to another coordinator's change.
 */
export const abortHeldPass = async (
  { epoch, step, current }: PassToAbort,
  { port, clock, random }: AbortOptions,
): Promise<boolean> => {
  const reports = await freshReports(port, epoch);
  if (!reports) return false;
  const newerVersion = nextVersion(Math.max(...reports.map(highestVersionOf)), random);
  const affected = reports.filter(({ armed }) => !armed || armed.step === step);
  const versions = new Set(affected.flatMap(({ armed }) => armed?.version ?? []));
  const disarming = [...versions].map((version) => {
    const armedFor = affected.filter(({ armed }) => armed?.version === version);
    return retryAtRanks(port, clock, ranksOf(armedFor), { op: 'disarm', epoch, version });
  });
  await Promise.all(disarming);
  const supersede = { op: 'prepare', epoch, version: newerVersion, placement: current } as const;
  const outcomes = await retryAtRanks(port, clock, ranksOf(affected), supersede);
  return outcomes.every((outcome) => outcome === 'done');
};
