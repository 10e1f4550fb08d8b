import { setTimeout as delay } from 'node:timers/promises';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { Metrics } from '@plantaindrum/common';

const RELEASE_MS = 20;

setFlagsFromString('--expose-gc');
const collect = runInNewContext('gc') as () => void;

/** Processor time of this process so far, in microseconds. */
export const cpuMicros = (): number => {
  const { user, system } = process.cpuUsage();
  return user + system;
};

/** Bytes in use after full collections, heap and buffers; buffers are released between them. */
export const bytesInUse = async (): Promise<number> => {
  collect();
  await delay(RELEASE_MS);
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};

/** The middle value. */
export const median = (values: number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;

/** Median time of `fn` over several runs, in microseconds for each of its `times` calls. */
export const microsPerCall = (times: number, fn: (index: number) => void, runs = 5): number => {
  const samples = Array.from({ length: runs }, (_, run) => {
    const before = cpuMicros();
    for (let index = 0; index < times; index += 1) fn(run * times + index);
    return (cpuMicros() - before) / times;
  });
  return median(samples);
};

/** Runs a measurement at each size, one after the other; the first one, unmeasured, warms up. */
export const atSizes = async <T>(
  sizes: number[],
  measure: (n: number) => Promise<T>,
): Promise<(T & { n: number })[]> => {
  await measure(Math.max(...sizes));
  const found: (T & { n: number })[] = [];
  for (const n of sizes) found.push({ n, ...(await measure(n)) });
  return found;
};

/** Bytes that a process has sent on its links in frames of a kind, whatever their method and peer. */
export const linkBytesSent = (metrics: Metrics, kind: 'control' | 'data'): number =>
  metrics
    .snapshot()
    .counters.filter(({ name, labels }) => name === 'link_bytes_sent' && labels.kind === kind)
    .reduce((sum, { value }) => sum + value, 0);
