/**
 * Reports to the entries that the engine beside this agent is slow, so that they send it fewer
 * requests.
 */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import { silentLogger } from '@plantaindrum/common';
import { createLinkClient, defaultLinkLimits } from '@plantaindrum/link';
import type { LinkClient } from '@plantaindrum/link';
import type { NodeRecord } from '@plantaindrum/mirror';
import type { RankReport } from '../types.js';
import { agentIdentity } from './identity.js';

/** Reports an engine's slowdown to the entries. */
export interface SlowdownReporter {
  /** Records a reading of the engine's slowdown. */
  record(report: Pick<RankReport, 'pace' | 'startedAt'>): void;
  /** Whether slowdowns are being reported, which needs current readings of the engine. */
  isReporting(): boolean;
  close(): Promise<void>;
}

/** Options of `createSlowdownReporter`. */
export interface SlowdownReporterOptions {
  self: NodeRecord;
  region: string;
  /** Address by which entries identify the engine. */
  engine: { host: string; port: number };
  nodes: () => readonly NodeRecord[];
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** Slowdown above which it is reported: a group waits for its slowest rank in every pass. */
const SLOW_THRESHOLD = 1.1;
/** Links to entries are closed once the engine has not been slow for this long, in ms. */
const RECOVERY_MS = 5_000;
const BACKOFF = { firstMs: 50, maxMs: 1_000 };
const LIMITS = { ...defaultLinkLimits, helloTimeoutMs: 800 };

/** Creates the reporter, which keeps links to entries only while there is a slowdown to report. */
export const createSlowdownReporter = (options: SlowdownReporterOptions): SlowdownReporter => {
  const { self, engine, nodes, clock, random, metrics, log } = options;
  const clients = new Map<string, LinkClient>();
  let latest: Pick<RankReport, 'pace' | 'startedAt'> | undefined;
  let slowAt = -Infinity;
  let isSlow = false;

  const connectTo = ({ host, port }: NodeRecord): LinkClient =>
    createLinkClient({
      connect: { host, port },
      identity: agentIdentity(self, options.region),
      intentOffset: () => -1,
      limits: LIMITS,
      handlers: {},
      onLink: (link) => {
        if (latest) link.send({ t: 'note', method: 'engine.pace', args: { ...engine, ...latest } });
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

  const sendToEntries = (pace: number, startedAt: number): void => {
    nodes()
      .filter(({ role }) => role === 'entry')
      .forEach((record) => {
        const key = `${record.host}:${record.port}`;
        const client = clients.get(key) ?? connectTo(record);
        clients.set(key, client);
        const args = { ...engine, startedAt, pace };
        client.link()?.send({ t: 'note', method: 'engine.pace', args });
      });
  };

  const isReporting = (): boolean => clock.monotonic() - slowAt < RECOVERY_MS;

  return {
    isReporting,
    record: ({ pace, startedAt }) => {
      const now = clock.monotonic();
      latest = { pace, startedAt };
      if (pace > SLOW_THRESHOLD) slowAt = now;
      if (pace > SLOW_THRESHOLD !== isSlow) log.event('engine-pace', { pace });
      isSlow = pace > SLOW_THRESHOLD;
      if (isReporting()) sendToEntries(pace, startedAt);
      else if (clients.size > 0) void closeAll();
    },
    close: closeAll,
  };
};
