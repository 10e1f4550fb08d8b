/** What a link costs while nothing but heartbeats travels on it. */

import { setTimeout as delay } from 'node:timers/promises';
import { createMetrics, silentLogger, systemClock, systemRandom } from '@plantaindrum/common';
import {
  createLinkClient,
  createLinkServer,
  defaultBackoff,
  defaultLinkLimits,
} from '@plantaindrum/link';
import type { LinkOptions } from '@plantaindrum/link';
import { fitLine } from './fit.js';
import type { Line } from './fit.js';
import { bytesInUse, cpuMicros, linkBytesSent, median } from './measure.js';

const MOST_SETTLE_MS = 500;
const MS_PER_SECOND = 1_000;
/** Both ends of every link run in this process and do the same work. */
const ENDS = 2;

const createSide = (role: 'entry' | 'agent') => {
  const metrics = createMetrics();
  let opened = 0;
  let allOpen = (): void => {};
  const options = (node: string): LinkOptions => ({
    identity: { role, node, instance: node, dataCentre: 'kent', region: 'northwest' },
    intentOffset: () => 0,
    ...(role === 'agent' && {
      load: () => ({ queued: 3, running: 8, drainPerSecond: 12.5, leaving: false }),
    }),
    limits: defaultLinkLimits,
    handlers: {},
    onLink: () => {
      opened += 1;
      allOpen();
      return () => {};
    },
    clock: systemClock,
    metrics,
    log: silentLogger,
  });
  const whenOpen = (count: number): Promise<void> =>
    new Promise((resolve) => {
      allOpen = () => {
        if (opened >= count) resolve();
      };
      allOpen();
    });
  return { options, whenOpen, sent: () => linkBytesSent(metrics, 'control') };
};

const measure = async (peers: number, windowMs: number) => {
  const entry = createSide('entry');
  const agent = createSide('agent');
  const before = await bytesInUse();
  const server = await createLinkServer({
    ...agent.options('kent-u1'),
    listen: { host: '127.0.0.1', port: 0 },
  });
  const clients = Array.from({ length: peers }, (_, index) =>
    createLinkClient({
      ...entry.options(`kent-e${index}`),
      connect: server.address,
      backoff: defaultBackoff,
      random: systemRandom,
    }),
  );
  await entry.whenOpen(peers);
  await agent.whenOpen(peers);
  await delay(Math.min(MOST_SETTLE_MS, windowMs));
  const bytes = (await bytesInUse()) - before;
  const [cpu, sentByEntry, sentByAgent] = [cpuMicros(), entry.sent(), agent.sent()];
  await delay(windowMs);
  const seconds = windowMs / MS_PER_SECOND;
  const result = {
    cpuMicros: (cpuMicros() - cpu) / seconds / ENDS,
    entryBytes: (entry.sent() - sentByEntry) / seconds,
    agentBytes: (agent.sent() - sentByAgent) / seconds,
    memoryBytes: bytes / ENDS,
  };
  await Promise.all(clients.map((client) => client.close()));
  await server.close();
  return result;
};

type Cost = Awaited<ReturnType<typeof measure>>;

const medianOf = (rounds: Cost[], key: keyof Cost): number =>
  median(rounds.map((round) => round[key]));

/** Lines over the number of peers, at the heartbeat interval that nodes use; medians of rounds. */
export const heartbeatLines = async (
  sizes: number[],
  windowMs: number,
  rounds: number,
): Promise<Record<string, Line>> => {
  const found = new Map<number, Cost[]>(sizes.map((n) => [n, []]));
  await measure(Math.max(...sizes), windowMs);
  for (let round = 0; round < rounds; round += 1) {
    for (const n of sizes) found.get(n)?.push(await measure(n, windowMs));
  }
  const line = (unit: string, key: keyof Cost): Line =>
    fitLine(
      'peers',
      unit,
      [...found].map(([n, costs]) => ({ n, y: medianOf(costs, key) })),
    );
  return {
    'heartbeat-cpu': line('us of processor time a second, one end', 'cpuMicros'),
    'heartbeat-bytes-from-entry': line('bytes a second, one way', 'entryBytes'),
    'heartbeat-bytes-from-agent': line('bytes a second, one way', 'agentBytes'),
    'link-memory': line('bytes, one end', 'memoryBytes'),
  };
};
