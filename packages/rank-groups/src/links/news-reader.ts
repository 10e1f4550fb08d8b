/**
 * Reads what all ranks have to tell, while this agent coordinates. The pattern: when every rank tells its
 * reports and counts by itself, what reaches the coordinator grows with the group until its link is full,
 * and nothing of it arrives in time. Asked for along the tree, counts are summed on the way, and the
 * next question waits until the last answer is in: how often it is asked follows from what it takes.
 */

import { sleep } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';
import type { GatheredNews } from '../tree/rank-port.js';
import type { RankReport } from '../types.js';

/** The reader. */
export interface NewsReader {
  /** How long apart news are now, in ms. */
  everyMs(): number;
  close(): void;
}

/** Options of `createNewsReader`. */
export interface NewsReaderOptions {
  /** Resolves once this agent coordinates; at once while it does. */
  untilCoordinating: () => Promise<void>;
  news: () => Promise<GatheredNews>;
  onReport: (report: RankReport) => void;
  onPicks: (picks: readonly number[]) => void;
  clock: Clock;
}

/** Least time between two questions, in ms: about one pass, so that a shift shows within two. */
const LEAST_MS = 80;
/** Time between questions in times of what their answers take: links are then free for half of it. */
const TIMES_OF_ANSWERS = 2;
/** Most time between two questions, in ms: so long a shift goes by unseen. */
const MOST_MS = 2_000;
/** Weight of the last question in what they usually take. */
const WEIGHT = 0.25;

/** Starts to read; runs until `close`. */
export const createNewsReader = (options: NewsReaderOptions): NewsReader => {
  const { untilCoordinating, news, onReport, onPicks, clock } = options;
  let usualMs = 0;
  let isClosed = false;

  const everyMs = (): number => Math.min(MOST_MS, Math.max(LEAST_MS, TIMES_OF_ANSWERS * usualMs));

  const readOnce = async (): Promise<number> => {
    const began = clock.monotonic();
    const { news: told, heard, ranks } = await news();
    told.reports.forEach(onReport);
    if (told.picks.length > 0) onPicks(told.picks);
    const took = clock.monotonic() - began;
    // Where most say nothing, links are full or lost; a rank that is silent alone takes none of their time.
    if (2 * heard < ranks) usualMs = Math.max(2 * usualMs, took);
    else if (heard === ranks) usualMs += (took - usualMs) * WEIGHT;
    return took;
  };

  const run = async (): Promise<void> => {
    while (!isClosed) {
      await untilCoordinating();
      if (isClosed) return;
      const took = await readOnce();
      await sleep(clock, Math.max(1, everyMs() - took));
    }
  };
  void run();

  return {
    everyMs,
    close: () => {
      isClosed = true;
    },
  };
};
