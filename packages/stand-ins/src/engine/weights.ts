/**
 * Loads expert weights from the weight store; resumes partial reads and respects the rate limit.
 */
import type { Clock } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import { request } from 'undici';
import type { ExpertMap } from './expert-map.js';
import { weightsForRanks } from './expert-map.js';

const RETRY_DELAY_MS = 200;

/** Loads weights and keeps them loaded. */
export interface WeightLoader {
  /** Resolves when all weights that `ranks` need for `map` are loaded. */
  load(map: ExpertMap, ranks: number[]): Promise<void>;
  stats(): { experts: number; bytes: number; retries: number };
  close(): void;
}

/** Creates a loader; without a store URL, loading completes immediately. */
export const createWeightLoader = (
  clock: Clock,
  model: string,
  storeUrl: string | undefined,
): WeightLoader => {
  const loadsByPath = new Map<string, Promise<void>>();
  const stats = { experts: 0, bytes: 0, retries: 0 };
  let closed = false;

  /**
   * Reads the missing bytes; returns the delay before the next attempt (ms), or 0 when complete.
   */
  const readRemaining = async (url: string, progress: { bytes: number }): Promise<number> => {
    try {
      const res = await request(url, { headers: { range: `bytes=${progress.bytes}-` } });
      if (res.statusCode === 429) {
        await res.body.dump();
        return Number(res.headers['retry-after'] ?? 1) * 1000;
      }
      if (res.statusCode !== 206) {
        await res.body.dump();
        return RETRY_DELAY_MS;
      }
      for await (const chunk of res.body) {
        // eslint-disable-next-line no-param-reassign
        progress.bytes += (chunk as Buffer).length;
        stats.bytes += (chunk as Buffer).length;
      }
      return 0;
    } catch {
      return RETRY_DELAY_MS;
    }
  };

  const loadOne = async (path: string): Promise<void> => {
    const progress = { bytes: 0 };
    while (!closed) {
      const waitMs = await readRemaining(`${storeUrl}/weights/${path}`, progress);
      if (waitMs === 0) break;
      stats.retries += 1;
      await sleep(clock, waitMs);
    }
    stats.experts += 1;
  };

  const loadOnce = (path: string): Promise<void> => {
    const loading = loadsByPath.get(path) ?? loadOne(path);
    loadsByPath.set(path, loading);
    return loading;
  };

  return {
    load: async (map, ranks) => {
      if (storeUrl === undefined) return;
      for (const { layer, expert } of weightsForRanks(map, ranks)) {
        await loadOnce(`${model}/${layer}/${expert}`);
      }
    },
    stats: () => ({ ...stats }),
    close: () => {
      closed = true;
    },
  };
};
