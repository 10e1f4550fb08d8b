/** Tells the entries that the engine beside this agent is slow, so that they send it less. */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { silentLogger } from '@plantaindrum/common';
import { createLinkClient, defaultLinkLimits } from '@plantaindrum/link';
import type { LinkClient } from '@plantaindrum/link';
import type { NodeRecord } from '@plantaindrum/mirror';
import type { RankReport } from '../types.js';
import { agentIdentity } from './identity.js';

/** The agent's reports to the entries. */
export interface PaceReporter {
  /** Takes each reading of the engine's pace. */
  note(report: Pick<RankReport, 'pace' | 'startedAt'>): void;
  /** Whether entries are being told, which wants fresh readings. */
  isTelling(): boolean;
  close(): Promise<void>;
}

/** Options of `createPaceReporter`. */
export interface PaceReporterOptions {
  self: NodeRecord;
  region: string;
  /** Address at which entries know the engine. */
  engine: { host: string; port: number };
  nodes: () => readonly NodeRecord[];
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** Pace above which entries are told: a group waits for its slowest rank in every pass. */
const SLOW = 1.1;
/** Links to entries are ended when the engine has been well for this long, in ms. */
const WELL_MS = 5_000;
const BACKOFF = { firstMs: 50, maxMs: 1_000 };
const LIMITS = { ...defaultLinkLimits, helloTimeoutMs: 800 };

/** Creates the reporter; it has links to entries only while there is something to tell. */
export const createPaceReporter = (options: PaceReporterOptions): PaceReporter => {
  const { self, engine, nodes, clock, random, metrics, log } = options;
  const clients = new Map<string, LinkClient>();
  let last: Pick<RankReport, 'pace' | 'startedAt'> | undefined;
  let slowAt = -Infinity;
  let isSlow = false;

  const open = ({ host, port }: NodeRecord): LinkClient =>
    createLinkClient({
      connect: { host, port },
      identity: agentIdentity(self, options.region),
      intentOffset: () => -1,
      limits: LIMITS,
      handlers: {},
      onLink: (link) => {
        if (last) link.send({ t: 'note', method: 'engine.pace', args: { ...engine, ...last } });
        return () => {};
      },
      backoff: BACKOFF,
      random,
      clock,
      metrics,
      log: silentLogger,
    });

  const closeAll = async (): Promise<void> => {
    const all = [...clients.values()];
    clients.clear();
    await Promise.all(all.map((client) => client.close()));
  };

  const tell = (pace: number, startedAt: number): void => {
    nodes()
      .filter(({ role }) => role === 'entry')
      .forEach((record) => {
        const key = `${record.host}:${record.port}`;
        const client = clients.get(key) ?? open(record);
        clients.set(key, client);
        const args = { ...engine, startedAt, pace };
        client.link()?.send({ t: 'note', method: 'engine.pace', args });
      });
  };

  const isTelling = (): boolean => clock.monotonic() - slowAt < WELL_MS;

  return {
    isTelling,
    note: ({ pace, startedAt }) => {
      const now = clock.monotonic();
      last = { pace, startedAt };
      if (pace > SLOW) slowAt = now;
      if (pace > SLOW !== isSlow) log.event('engine-pace', { pace });
      isSlow = pace > SLOW;
      if (isTelling()) tell(pace, startedAt);
      else if (clients.size > 0) void closeAll();
    },
    close: closeAll,
  };
};
