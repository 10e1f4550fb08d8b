/** Drops keys that a restored log lacks and that no writer has rewritten in time. */

import type { Clock, EventLog } from '@plantaindrum/common';
import type { KeyedMirror } from './keyed-mirror.js';

/** Options of `createUnconfirmedExpiry`. */
export interface UnconfirmedExpiryOptions {
  topic: string;
  mirror: KeyedMirror;
  /** Time that writers have to rewrite what the restored log lacks, in ms; if undefined, unconfirmed keys are kept. */
  rewriteTimeoutMs: number | undefined;
  clock: Clock;
  log: EventLog;
}

/** Timer that drops the unconfirmed keys of one mirror: those not seen in the log since it was restored. */
export interface UnconfirmedExpiry {
  /** Starts the timer if there are unconfirmed keys. Peers send such keys too, so call it not only after a restore. */
  scheduleDrop(): void;
  close(): void;
}

/** Creates the timer of one mirror; it isn't started yet. */
export const createUnconfirmedExpiry = (options: UnconfirmedExpiryOptions): UnconfirmedExpiry => {
  const { topic, mirror, rewriteTimeoutMs, clock, log } = options;
  let stopTimer: (() => void) | undefined;

  const scheduleDrop = (): void => {
    if (rewriteTimeoutMs === undefined || stopTimer || mirror.unconfirmed().length === 0) return;
    const generation = mirror.generation();
    stopTimer = clock.after(rewriteTimeoutMs, () => {
      stopTimer = undefined;
      // The log was restored again meanwhile: writers get the full time again.
      if (mirror.generation() !== generation) {
        scheduleDrop();
        return;
      }
      const keys = mirror.unconfirmed().length;
      if (keys === 0) return;
      mirror.dropUnconfirmed();
      log.event('lost-in-restore', { topic, generation, keys });
    });
  };

  return { scheduleDrop, close: () => stopTimer?.() };
};
