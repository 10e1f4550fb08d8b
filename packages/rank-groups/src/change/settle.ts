/** Ends what another coordinator, or an earlier process, left half done: a pass that is held. */

import type { Clock, EventLog, Random } from '@plantaindrum/common';
import type { Placement, RankReport } from '../types.js';
import type { GroupPort } from './group-port.js';
import { freshReports, retryOrder, retryAtAllRanks } from './group-port.js';
import { withdrawPass } from './withdraw.js';

/** How a held pass was settled. */
export type SettleOutcome = 'completed' | 'withdrawn' | 'nothing-held' | 'unreachable';

/** What settling needs. */
export interface SettleOptions {
  port: GroupPort;
  clock: Clock;
  random: Random;
  log: EventLog;
}

interface FoundHold {
  rank: number;
  step: number;
}

/** The held pass that comes first; the others can't be reached before it. */
const firstHeld = (reports: readonly RankReport[]): FoundHold | undefined =>
  reports
    .flatMap(({ rank, held }) => (held === undefined ? [] : [{ rank, step: held }]))
    .sort((a, b) => a.step - b.step)[0];

/**
 * The version that all ranks can be armed with for a pass: some are armed for it with this one, and
 * the others have it prepared and aren't armed. Where none is armed, its coordinator may be about to
 * let the pass begin, and whoever arms a rank then would mix maps.
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
 * Settles the first held pass of a group. To complete it is safe whatever its coordinator does
 * meanwhile, as both arm the same version for the same pass. To withdraw it is safe only where it
 * can't be completed: then some rank never was armed for the pass and can't be any more, so its
 * coordinator has not let the pass begin and never will with some ranks armed.
 */
export const settleHeldPass = async (
  epoch: number,
  mapInUse: () => Promise<Placement | undefined>,
  options: SettleOptions,
): Promise<SettleOutcome> => {
  const { port, clock, log } = options;
  const reports = await freshReports(port, epoch);
  if (!reports) return 'unreachable';
  const held = firstHeld(reports);
  if (!held) return 'nothing-held';
  // Read last: while it is still held, no pass has begun between the reports above.
  const again = await port.report(held.rank);
  if (again?.held !== held.step || again.epoch !== epoch) return 'nothing-held';

  const go = async (): Promise<void> => {
    await retryOrder(port, clock, held.rank, { op: 'go', epoch, step: held.step });
  };
  const version = commonVersion(reports, held.step);
  log.event('settling', { epoch, rank: held.rank, step: held.step, version });

  if (version !== undefined) {
    const order = { op: 'arm', epoch, version, step: held.step } as const;
    const outcomes = await retryAtAllRanks(port, clock, order);
    if (!outcomes.every((outcome) => outcome === 'done')) return 'unreachable';
    await go();
    return 'completed';
  }

  // Nothing is armed and nothing can be: the hold itself came late.
  if (reports.every(({ armed, prepared }) => !armed && prepared === undefined)) {
    await go();
    return 'withdrawn';
  }
  const current = await mapInUse();
  if (!current) return 'unreachable';
  const isSafe = await withdrawPass({ epoch, step: held.step, current }, options);
  if (!isSafe) return 'unreachable';
  await go();
  return 'withdrawn';
};
