/** Finds the engine of a rank whose agent is silent. */

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

/** Creates a finder; it asks nobody before it has to. */
export const createEngineFinder = (options: EngineFinderOptions): EngineFinder => {
  const { list, open, clock, log } = options;
  const found = new Map<string, RankEngine>();
  let listed: readonly EngineAddress[] = [];
  let searchedAt = -Infinity;
  let searching: Promise<void> | undefined;

  // In another epoch an address may be another rank's: an order meant for one would reach the other,
  // and a rank that was taken for armed would begin the pass with the old map.
  const keyOf = (group: string, epoch: number, rank: number): string => `${group}/${epoch}/${rank}`;

  const prepare = async (): Promise<void> => {
    listed = (await list()) ?? listed;
  };

  const search = async (): Promise<void> => {
    searchedAt = clock.monotonic();
    found.clear();
    await prepare();
    await Promise.all(
      listed.map(async ({ host, port }) => {
        const engine = open(host, port);
        const report = await engine.report();
        if (report) found.set(keyOf(report.group, report.epoch, report.rank), engine);
      }),
    );
    log.event('engines-searched', { listed: listed.length, found: found.size });
  };

  return {
    prepare,
    find: async (group, epoch, rank) => {
      const isDue = clock.monotonic() - searchedAt > SEARCH_MS;
      if (!found.has(keyOf(group, epoch, rank)) && isDue) searching = search();
      await searching;
      return found.get(keyOf(group, epoch, rank));
    },
  };
};
