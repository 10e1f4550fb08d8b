/** Makes sure that no rank switches maps at a pass that is held, so that the pass may begin. */

import type { Clock, Random } from '@plantaindrum/common';
import type { Placement, RankReport } from '../types.js';
import type { GroupPort } from './group-port.js';
import { freshReports, retryOrder } from './group-port.js';
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
  const withdraw = async ({ rank, armed }: RankReport): Promise<boolean> => {
    if (armed && armed.step !== step) return true;
    if (armed) await retryOrder(port, clock, rank, { op: 'disarm', epoch, version: armed.version });
    const supersede = { op: 'prepare', epoch, version: newer, placement: current } as const;
    return (await retryOrder(port, clock, rank, supersede)) === 'done';
  };
  const safe = await Promise.all(reports.map(withdraw));
  return safe.every(Boolean);
};
