/** Finds the engine of a rank whose agent is silent. */

import { inTurns } from '@plantaindrum/common';
import type { Clock, EventLog } from '@plantaindrum/common';
import type { RankEngine } from './types.js';

/** An engine's own address, which outlives the VM of the agent beside it. */
export interface EngineAddress {
  host: string;
  port: number;
}

/** Options of `createEngineFinder`. */
export interface EngineFinderOptions {
  /** Engines of the group's service as the platform lists them; undefined when it can't be read. */
  list: () => Promise<readonly EngineAddress[] | undefined>;
  open: (host: string, port: number) => RankEngine;
  clock: Clock;
  log: EventLog;
}

/** Engines by rank. */
export interface EngineFinder {
  /** The engine of a rank of this group, as it was found in this epoch. */
  find(group: string, epoch: number, rank: number): Promise<RankEngine | undefined>;
  /** Reads the platform's list ahead of the time when it is needed and perhaps can't be read. */
  prepare(): Promise<void>;
}

/** The list is read and the engines are asked again at most this often, in ms. */
const SEARCH_MS = 700;
/**
 * Engines that are asked at once. Reports of 192 with their connections are 130 KB, a quarter of a second on an
 * agent's link; asked together, most came later than an engine is waited for, and one of 192 was found.
 */
const SEARCHED_AT_ONCE = 12;

const isSame = (a: EngineAddress, b: EngineAddress): boolean =>
  a.host === b.host && a.port === b.port;

/** Creates a finder; it asks nobody before it has to. */
export const createEngineFinder = (options: EngineFinderOptions): EngineFinder => {
  const { list, open, clock, log } = options;
  const found = new Map<string, { engine: RankEngine; address: EngineAddress }>();
  let listed: readonly EngineAddress[] = [];
  let searchedAt = -Infinity;
  let searching: Promise<void> | undefined;

  // In another epoch an address may be another rank's: an order meant for one would reach the other,
  // and a rank that was taken for armed would begin the pass with the old map.
  const keyOf = (group: string, epoch: number, rank: number): string => `${group}/${epoch}/${rank}`;

  const prepare = async (): Promise<void> => {
    listed = (await list()) ?? listed;
  };

  const forgetOthers = (group: string, epoch: number): void => {
    [...found].forEach(([key, { address }]) => {
      if (!key.startsWith(`${group}/${epoch}/`)) found.delete(key);
      else if (!listed.some((entry) => isSame(entry, address))) found.delete(key);
    });
  };

  const search = async (group: string, epoch: number): Promise<void> => {
    searchedAt = clock.monotonic();
    await prepare();
    forgetOthers(group, epoch);
    const known = [...found.values()];
    const unknown = listed.filter((entry) => !known.some(({ address }) => isSame(entry, address)));
    await inTurns(unknown, SEARCHED_AT_ONCE, async (address) => {
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
      const isDue = clock.monotonic() - searchedAt > SEARCH_MS;
      if (!found.has(keyOf(group, epoch, rank)) && isDue) searching = search(group, epoch);
      await searching;
      return found.get(keyOf(group, epoch, rank))?.engine;
    },
  };
};
