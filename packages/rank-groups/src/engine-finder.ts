/** Finds the engine of a rank whose agent is not linked. */

import { forEachConcurrent } from '@plantaindrum/common';
import type { Clock, EventLog } from '@plantaindrum/common';
import type { RankEngine } from './types.js';

/** An engine's own address, which remains valid when the VM of its agent is lost. */
export interface EngineAddress {
  host: string;
  port: number;
}

/** Options of `createEngineFinder`. */
export interface EngineFinderOptions {
  /**
   * Lists the engines of the group's service from the platform; undefined when the list can't be
   * read.
   */
  list: () => Promise<readonly EngineAddress[] | undefined>;
  open: (host: string, port: number) => RankEngine;
  clock: Clock;
  log: EventLog;
}

/** Finds engines by rank. */
export interface EngineFinder {
  /** Returns the engine of a rank in this group and epoch; undefined when it isn't found. */
  find(group: string, epoch: number, rank: number): Promise<RankEngine | undefined>;
  /** Reads the platform's list in advance, in case it can't be read when it is needed. */
  prepare(): Promise<void>;
}

/** Minimum time between two searches, in ms. A search reads the list and queries the engines. */
const SEARCH_INTERVAL_MS = 700;
/**
 * Engines that are queried concurrently. The reports of 192 engines with their connections take 130
 * KB, a quarter of a second on an agent's link. Queried all at once, most answers came after the
 * timeout, and only one of the 192 engines was found.
 */
const MAX_CONCURRENT_READS = 12;

const isSameAddress = (a: EngineAddress, b: EngineAddress): boolean =>
  a.host === b.host && a.port === b.port;

/** Creates a finder, which queries no engine before the first `find`. */
export const createEngineFinder = (options: EngineFinderOptions): EngineFinder => {
  const { list, open, clock, log } = options;
  const found = new Map<string, { engine: RankEngine; address: EngineAddress }>();
  let listed: readonly EngineAddress[] = [];
  let searchedAt = -Infinity;
  let pendingSearch: Promise<void> | undefined;

  // Keys include the epoch because an address may belong to another rank in the next one. An order
  // would then reach the wrong rank, and a rank that was mistaken for armed would begin the pass
  // with the old map.
  const keyOf = (group: string, epoch: number, rank: number): string => `${group}/${epoch}/${rank}`;

  const prepare = async (): Promise<void> => {
    listed = (await list()) ?? listed;
  };

  const removeOutdated = (group: string, epoch: number): void => {
    [...found].forEach(([key, { address }]) => {
      if (!key.startsWith(`${group}/${epoch}/`)) found.delete(key);
      else if (!listed.some((entry) => isSameAddress(entry, address))) found.delete(key);
    });
  };

  const search = async (group: string, epoch: number): Promise<void> => {
    searchedAt = clock.monotonic();
    await prepare();
    removeOutdated(group, epoch);
    const known = [...found.values()];
    const unknown = listed.filter(
      (entry) => !known.some(({ address }) => isSameAddress(entry, address)),
    );
    await forEachConcurrent(unknown, MAX_CONCURRENT_READS, async (address) => {
      const engine = open(address.host, address.port);
      const report = await engine.report();
      const key = report && keyOf(report.group, report.epoch, report.rank);
      if (key !== undefined) found.set(key, { engine, address });
    });
    log.event('engines-searched', { listed: unknown.length, found: found.size });
  };

  return {
    prepare,
    find: async (group, epoch, rank) => {
      const isDue = clock.monotonic() - searchedAt > SEARCH_INTERVAL_MS;
      if (!found.has(keyOf(group, epoch, rank)) && isDue) pendingSearch = search(group, epoch);
      await pendingSearch;
      return found.get(keyOf(group, epoch, rank))?.engine;
    },
  };
};
