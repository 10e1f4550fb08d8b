/** Makes sure that no rank switches maps at a pass that is held, so that the pass may begin. */

import type { Clock, Random } from '@plantaindrum/common';
import type { Placement, RankReport } from '../types.js';
import type { GroupPort } from './group-port.js';
import { freshReports, retryAtRanks } from './group-port.js';
import { nextVersion, versionsOf } from './versions.js';

/** What withdrawing needs. */
export interface WithdrawOptions {
  port: GroupPort;
  clock: Clock;
  random: Random;
}

/** A held pass that is to begin with the map in use. */
export interface HeldPass {
  epoch: number;
  step: number;
  /** The map in use, prepared anew under a higher version; it copies nothing. */
  current: Placement;
}

const ranksOf = (reports: readonly RankReport[]): number[] => reports.map(({ rank }) => rank);

/**
 * One try; true when no rank is armed for the pass or can be any more. An arm that is still on its
 * way needs its version prepared, and a rank keeps one prepared version: a newer one makes the arm
 * be refused. A version is armed for one pass only, so a rank that is armed for another pass no
 * longer has prepared what this pass was held for. It is left alone: its change is somebody else's.
 */
export const withdrawPass = async (
  { epoch, step, current }: HeldPass,
  { port, clock, random }: WithdrawOptions,
): Promise<boolean> => {
  const reports = await freshReports(port, epoch);
  if (!reports) return false;
  const newer = nextVersion(Math.max(...reports.map(versionsOf)), random);
  const concerned = reports.filter(({ armed }) => !armed || armed.step === step);
  const versions = new Set(concerned.flatMap(({ armed }) => armed?.version ?? []));
  const disarm = [...versions].map((version) => {
    const armedFor = concerned.filter(({ armed }) => armed?.version === version);
    return retryAtRanks(port, clock, ranksOf(armedFor), { op: 'disarm', epoch, version });
  });
  await Promise.all(disarm);
  const supersede = { op: 'prepare', epoch, version: newer, placement: current } as const;
  const outcomes = await retryAtRanks(port, clock, ranksOf(concerned), supersede);
  return outcomes.every((outcome) => outcome === 'done');
};
