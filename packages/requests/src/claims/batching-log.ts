import type { Clock, Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { Log, LogFailure } from '@plantaindrum/service-clients';

/** Settings of a batching log. */
export interface BatchingLogOptions {
  clock: Clock;
  /** Time that the first value of a batch waits for others, in milliseconds. */
  lingerMs: number;
  /** Largest number of values in one append. */
  maxValues: number;
}

type AppendResult = Result<number[], LogFailure>;

interface PendingAppend {
  values: readonly unknown[];
  resolve: (result: AppendResult) => void;
}

interface Batcher {
  add(values: readonly unknown[]): Promise<AppendResult>;
}

const takeBatch = (pending: PendingAppend[], maxValues: number): PendingAppend[] => {
  const batch: PendingAppend[] = [];
  let size = 0;
  while (pending[0] && (size === 0 || size + pending[0].values.length <= maxValues)) {
    const next = pending.shift()!;
    batch.push(next);
    size += next.values.length;
  }
  return batch;
};

const resolveBatch = (batch: readonly PendingAppend[], result: AppendResult) => {
  let from = 0;
  batch.forEach(({ values, resolve }) => {
    resolve(result.ok ? ok(result.value.slice(from, from + values.length)) : fail(result.err));
    from += values.length;
  });
};

/**
 * Wraps a log so that appends to one partition are batched. At most one append per partition is in
 * flight, and values that arrive meanwhile go into the next. The rate of appends is therefore
 * bounded by the latency of the log and by `lingerMs`, whatever the rate of values.
 */
export const createBatchingLog = (log: Log, options: BatchingLogOptions): Log => {
  const { clock, lingerMs, maxValues } = options;
  const batchers = new Map<string, Batcher>();

  const createBatcher = (topic: string, partition: number): Batcher => {
    const pending: PendingAppend[] = [];
    let isBusy = false;

    const run = async () => {
      isBusy = true;
      if (lingerMs > 0) {
        await new Promise<void>((resolve) => {
          clock.after(lingerMs, resolve);
        });
      }
      while (pending.length > 0) {
        const batch = takeBatch(pending, maxValues);
        const values = batch.flatMap((entry) => entry.values);
        resolveBatch(batch, await log.append(topic, partition, values));
      }
      isBusy = false;
    };

    return {
      add: (values) =>
        new Promise((resolve) => {
          pending.push({ values, resolve });
          if (!isBusy) void run();
        }),
    };
  };

  const batcherOf = (topic: string, partition: number): Batcher => {
    const name = `${topic}/${partition}`;
    const batcher = batchers.get(name) ?? createBatcher(topic, partition);
    batchers.set(name, batcher);
    return batcher;
  };

  return {
    append: (topic, partition, values) => batcherOf(topic, partition).add(values),
    read: (topic, partition, offset, waitMs) => log.read(topic, partition, offset, waitMs),
    offsets: (topic, partition) => log.offsets(topic, partition),
  };
};
