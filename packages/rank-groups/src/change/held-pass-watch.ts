/** Watches for passes that a lost coordinator has left held, and resolves them. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import type { Placement, RankReport } from '../types.js';
import type { GroupPort } from './group-port.js';
import { resolveHeldPass } from './resolve-held-pass.js';

/** `held`: a pass is held, and its coordinator may still release it. */
export type HeldPassState = 'none' | 'held' | 'resolved';

/** Watches the held passes of a group. */
export interface HeldPassWatch {
  /** Evaluates current reports, and resolves a pass that has been held for too long. */
  check(reports: readonly RankReport[], epoch: number): Promise<HeldPassState>;
}

/** Options of `createHeldPassWatch`. */
export interface HeldPassWatchOptions {
  port: GroupPort;
  /** Returns the map in use; undefined when it can't be read. */
  mapInUse: (epoch: number) => Promise<Placement | undefined>;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/**
 * A pass held for this long, while this coordinator makes no change, is resolved, in ms: about ten
 * orders.
 */
const HELD_PASS_TIMEOUT_MS = 250;

/** Creates the watch. */
export const createHeldPassWatch = (options: HeldPassWatchOptions): HeldPassWatch => {
  const { port, mapInUse, clock, random, metrics, log } = options;
  let heldSince: number | undefined;
  return {
    check: async (reports, epoch) => {
      // A pass that has begun is no longer held, though the report of another rank may still say so.
      const latestStep = Math.max(...reports.map(({ step }) => step));
      const isHeld = reports.some(({ held }) => held !== undefined && held > latestStep);
      const now = clock.monotonic();
      heldSince = isHeld ? (heldSince ?? now) : undefined;
      if (heldSince === undefined) return 'none';
      if (now - heldSince < HELD_PASS_TIMEOUT_MS) return 'held';
      const context = { port, clock, random, log };
      const outcome = await resolveHeldPass(epoch, () => mapInUse(epoch), context);
      metrics.count('rank_settled', { outcome });
      log.event('settled', { epoch, outcome });
      heldSince = undefined;
      return 'resolved';
    },
  };
};
