/** What claims on idempotency keys cost an agent: replay of others' claims, and appends. */

import { createMetrics, ok, systemClock } from '@plantaindrum/common';
import type { Log, LogRecord } from '@plantaindrum/service-clients';
import { createClaims } from '@plantaindrum/requests';
import { fitLine } from './fit.js';
import type { Line } from './fit.js';
import { atSizes, bytesInUse, cpuMicros } from './measure.js';

const BUDGET_MS = 60_000;
const READ_RECORDS = 500;
const APPEND_MS = 5;

const pause = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    systemClock.after(ms, resolve);
  });

/** A log of one partition in memory; an append takes as long as one over a network. */
const createMemoryLog = () => {
  const records: LogRecord[] = [];
  let appends = 0;
  const log: Log = {
    append: async (_topic, _partition, values) => {
      appends += 1;
      await pause(APPEND_MS);
      return ok(
        values.map((value) => {
          records.push({ offset: records.length, value });
          return records.length - 1;
        }),
      );
    },
    read: async (_topic, _partition, offset) => ok(records.slice(offset, offset + READ_RECORDS)),
    offsets: async () => ok({ beginning: 0, end: records.length }),
  };
  return { log, records, appends: () => appends };
};

const claimsOn = (log: Log, instance: string) =>
  createClaims({
    clock: systemClock,
    log,
    metrics: createMetrics(),
    instance,
    partitions: 1,
  });

const requestOf = (index: number) => ({
  organisation: 'dealer-7',
  key: `export-${index}`,
  bodyHash: 'c0ffee'.repeat(10),
  budgetMs: BUDGET_MS,
});

/** `calls` keyed calls at once, all run and answered. */
const runCalls = async (log: Log, instance: string, calls: number): Promise<void> => {
  const claims = claimsOn(log, instance);
  const indices = Array.from({ length: calls }, (_, index) => index);
  await Promise.all(
    indices.map(async (index) => {
      const verdict = await claims.claim(requestOf(index));
      if (verdict.verdict === 'first') void claims.finish(verdict.claim, { status: 200 });
    }),
  );
  await claims.flush(BUDGET_MS);
  claims.close();
};

const appendsFor = async (calls: number) => {
  const { log, appends } = createMemoryLog();
  await runCalls(log, 'agent-1', calls);
  return { appends: appends() };
};

/** Another agent's first claim, which has to replay what stands in the partition. */
const replayOf = async (calls: number) => {
  const { log, records } = createMemoryLog();
  await runCalls(log, 'agent-1', calls);
  const readBytes = JSON.stringify(records).length;
  const claims = claimsOn(log, 'agent-2');
  const before = await bytesInUse();
  const cpu = cpuMicros();
  await claims.claim(requestOf(calls));
  const micros = cpuMicros() - cpu;
  const memoryBytes = (await bytesInUse()) - before;
  claims.close();
  return { micros, memoryBytes, readBytes };
};

/** Lines over earlier calls in a partition, and over calls that one agent claims at once. */
export const claimLines = async (
  earlier: number[],
  atOnce: number[],
): Promise<Record<string, Line>> => {
  const replays = await atSizes(earlier, replayOf);
  const batches = await atSizes(atOnce, appendsFor);
  const line = (unit: string, key: 'micros' | 'memoryBytes' | 'readBytes'): Line =>
    fitLine(
      'keyed calls in the partition',
      unit,
      replays.map((point) => ({ n: point.n, y: point[key] })),
    );
  return {
    'claim-replay-cpu': line('us for the next claim of an agent that has not read them', 'micros'),
    'claim-replay-bytes': line('bytes of JSON read for it', 'readBytes'),
    'claim-memory': line('bytes', 'memoryBytes'),
    'claim-appends': fitLine(
      'keyed calls of one agent at once',
      'appends for claims and ends',
      batches.map(({ n, appends }) => ({ n, y: appends })),
    ),
  };
};
