/** Drops keys that a restored log lacks and that nobody has written again in time. */

import type { Clock, EventLog } from '@plantaindrum/common';
import type { KeyedMirror } from './keyed-mirror.js';

/** Options of `createLostKeys`. */
export interface LostKeysOptions {
  topic: string;
  mirror: KeyedMirror;
  /** Time for writers to write again what the restored log lacks, in ms; without it, that is kept. */
  withinMs: number | undefined;
  clock: Clock;
  log: EventLog;
}

/** The keys of one mirror that the log has not shown since it was restored. */
export interface LostKeys {
  /** To be called when there may be such keys; peers pass them on, so not only after a restore that was seen here. */
  dropLater(): void;
  close(): void;
}

/** Creates the timer of one mirror. */
export const createLostKeys = (options: LostKeysOptions): LostKeys => {
  const { topic, mirror, withinMs, clock, log } = options;
  let stopTimer: (() => void) | undefined;

  const dropLater = (): void => {
    if (withinMs === undefined || stopTimer || mirror.unconfirmed().length === 0) return;
    const generation = mirror.generation();
    stopTimer = clock.after(withinMs, () => {
      stopTimer = undefined;
      // Restored once more meanwhile: writers have the whole time again.
      if (mirror.generation() !== generation) {
        dropLater();
        return;
      }
      const keys = mirror.unconfirmed().length;
      if (keys === 0) return;
      mirror.dropUnconfirmed();
      log.event('lost-in-restore', { topic, generation, keys });
    });
  };

  return { dropLater, close: () => stopTimer?.() };
};
