/** Measures the memory and the processor time that code takes, in this process. */

import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

let collectGarbage: (() => void) | undefined;

const getCollector = (): (() => void) => {
  setFlagsFromString('--expose_gc');
  collectGarbage ??= runInNewContext('gc') as () => void;
  return collectGarbage;
};

/** Bytes of live objects and buffers, after a garbage collection. */
export const liveBytes = (): number => {
  const collect = getCollector();
  collect();
  // Buffers are freed after the collection that has found them dead.
  collect();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
};

/** Calls `fn`; returns its result and the bytes that are kept because of the call. */
export const measureKept = <T>(fn: () => T): { result: T; keptBytes: number } => {
  const before = liveBytes();
  const result = fn();
  return { result, keptBytes: liveBytes() - before };
};

/** Processor time of this process while `fn` runs, in microseconds. */
export const processorTimeUs = (fn: () => void): number => {
  const before = process.cpuUsage();
  fn();
  const { user, system } = process.cpuUsage(before);
  return user + system;
};
