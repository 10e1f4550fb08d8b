/** Loads experts' weights from the weight store, with resume and the store's rate limit obeyed. */
import type { Clock } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import { request } from 'undici';
import type { ExpertMap } from './expert-map.js';
import { weightsOn } from './expert-map.js';

const RETRY_MS = 200;

/** Loads weights; what is loaded stays loaded. */
export interface WeightLoader {
  /** Resolves when every weight that `map` puts on `ranks` is loaded. */
  load(map: ExpertMap, ranks: number[]): Promise<void>;
  stats(): { experts: number; bytes: number; retries: number };
  close(): void;
}

/** Creates a loader; without a store's address loading is immediate. */
export const createWeightLoader = (
  clock: Clock,
  model: string,
  storeUrl: string | undefined,
): WeightLoader => {
  const loads = new Map<string, Promise<void>>();
  const stats = { experts: 0, bytes: 0, retries: 0 };
  let closed = false;

  /** Reads what is missing; the milliseconds to wait before the next try, or 0 when whole. */
  const readRest = async (url: string, progress: { bytes: number }): Promise<number> => {
    try {
      const res = await request(url, { headers: { range: `bytes=${progress.bytes}-` } });
      if (res.statusCode === 429) {
        await res.body.dump();
        return Number(res.headers['retry-after'] ?? 1) * 1000;
      }
      if (res.statusCode !== 206) {
        await res.body.dump();
        return RETRY_MS;
      }
      for await (const chunk of res.body) {
        // eslint-disable-next-line no-param-reassign
        progress.bytes += (chunk as Buffer).length;
        stats.bytes += (chunk as Buffer).length;
      }
      return 0;
    } catch {
      return RETRY_MS;
    }
  };

  const loadOne = async (path: string): Promise<void> => {
    const progress = { bytes: 0 };
    while (!closed) {
      const waitMs = await readRest(`${storeUrl}/weights/${path}`, progress);
      if (waitMs === 0) break;
      stats.retries += 1;
      await sleep(clock, waitMs);
    }
    stats.experts += 1;
  };

  const ensure = (path: string): Promise<void> => {
    const known = loads.get(path) ?? loadOne(path);
    loads.set(path, known);
    return known;
  };

  return {
    load: async (map, ranks) => {
      if (storeUrl === undefined) return;
      for (const { layer, expert } of weightsOn(map, ranks)) {
        await ensure(`${model}/${layer}/${expert}`);
      }
    },
    stats: () => ({ ...stats }),
    close: () => {
      closed = true;
    },
  };
};
