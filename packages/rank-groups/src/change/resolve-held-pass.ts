/** Resolves a held pass that another coordinator, or an earlier process, left behind. */

import type { Clock, EventLog, Random } from '@plantaindrum/common';
import type { Placement, RankReport } from '../types.js';
import type { GroupPort } from './group-port.js';
import { freshReports, retryOrder, retryAtAllRanks } from './group-port.js';
import { abortHeldPass } from './abort-held-pass.js';

/** How a held pass was resolved. */
export type ResolveOutcome = 'completed' | 'withdrawn' | 'nothing-held' | 'unreachable';

/** Options of `resolveHeldPass`. */
export interface ResolveOptions {
  port: GroupPort;
  clock: Clock;
  random: Random;
  log: EventLog;
}

interface HoldFound {
  rank: number;
  step: number;
}

/** The earliest held pass; later ones can't be reached before it. */
const firstHeld = (reports: readonly RankReport[]): HoldFound | undefined =>
  reports
    .flatMap(({ rank, held }) => (held === undefined ? [] : [{ rank, step: held }]))
    .sort((a, b) => a.step - b.step)[0];

/**
 * The version with which all ranks can be armed for a pass: some ranks are armed with it, and the
 * others have it prepared and are not armed. Undefined when no rank is armed: the coordinator that
 * held the pass may be about to release it, and arming a rank then would mix maps.
 */
const commonVersion = (reports: readonly RankReport[], step: number): number | undefined => {
  if (!reports.some(({ armed }) => armed?.step === step)) return undefined;
  const candidates = reports.map(({ armed, prepared }) => {
    if (!armed) return prepared;
    return armed.step === step ? armed.version : undefined;
  });
  const [version] = candidates;
  return version !== undefined && candidates.every((other) => other === version)
    ? version
    : undefined;
};

/**
 * Resolves the first held pass of a group. Completing it is safe whatever its coordinator does
 * meanwhile, because both arm the same version for the same pass. Aborting it is safe only when it
 * can't be completed: then some rank was never armed for the pass and can't be any more, so its
 * coordinator has not released the pass and never will with some ranks armed.
 */
export const resolveHeldPass = async (
  epoch: number,
  mapInUse: () => Promise<Placement | undefined>,
  options: ResolveOptions,
): Promise<ResolveOutcome> => {
  const { port, clock, log } = options;
  const reports = await freshReports(port, epoch);
  if (!reports) return 'unreachable';
  const held = firstHeld(reports);
  if (!held) return 'nothing-held';
  // This is read last: if the pass is still held, no pass began while the reports above were read.
  const recheck = await port.report(held.rank);
  if (recheck?.held !== held.step || recheck.epoch !== epoch) return 'nothing-held';

  const sendGo = async (): Promise<void> => {
    await retryOrder(port, clock, held.rank, { op: 'go', epoch, step: held.step });
  };
  const version = commonVersion(reports, held.step);
  log.event('settling', { epoch, rank: held.rank, step: held.step, version });

  if (version !== undefined) {
    const order = { op: 'arm', epoch, version, step: held.step } as const;
    const outcomes = await retryAtAllRanks(port, clock, order);
    if (!outcomes.every((outcome) => outcome === 'done')) return 'unreachable';
    await sendGo();
    return 'completed';
  }

  // No rank is armed and none can be: the hold itself arrived late.
  if (reports.every(({ armed, prepared }) => !armed && prepared === undefined)) {
    await sendGo();
    return 'withdrawn';
  }
  const current = await mapInUse();
  if (!current) return 'unreachable';
  const isAborted = await abortHeldPass({ epoch, step: held.step, current }, options);
  if (!isAborted) return 'unreachable';
  await sendGo();
  return 'withdrawn';
};
