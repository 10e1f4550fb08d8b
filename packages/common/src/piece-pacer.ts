/** Limits the rate at which the chunks of one HTTP message are handled: each costs time, however small it is. */

import type { Clock } from './clock.js';

/** Paces the reading of one message. */
export interface PiecePacer {
  /** Records chunks that were read; returns how long to pause reading, in ms. */
  record(pieces: number): number;
}

/** Chunks that may be read at once. */
const MAX_BURST_PIECES = 8_192;
/** Chunks a second beyond the burst. */
const PIECES_PER_SECOND = 50_000;
const MS_PER_SECOND = 1_000;

/** Creates the pacer of one message. */
export const createPiecePacer = (clock: Clock): PiecePacer => {
  let backlog = 0;
  let updatedAt = clock.monotonic();
  return {
    record: (pieces) => {
      const now = clock.monotonic();
      const handled = ((now - updatedAt) * PIECES_PER_SECOND) / MS_PER_SECOND;
      backlog = Math.max(0, backlog - handled) + pieces;
      updatedAt = now;
      const excess = Math.max(0, backlog - MAX_BURST_PIECES);
      return Math.ceil((excess * MS_PER_SECOND) / PIECES_PER_SECOND);
    },
  };
};
