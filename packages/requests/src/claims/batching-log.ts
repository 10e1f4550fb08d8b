import type { Clock, Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { Log, LogFailure } from '@plantaindrum/service-clients';

/** Settings of a batching log. */
export interface BatchingLogOptions {
  clock: Clock;
  /** How long the first value of a batch waits for others, in milliseconds. */
  lingerMs: number;
  /** Most values in one append. */
  most: number;
}

type Appended = Result<number[], LogFailure>;

interface Waiting {
  values: readonly unknown[];
  settle: (result: Appended) => void;
}

interface Batcher {
  add(values: readonly unknown[]): Promise<Appended>;
}

const takeBatch = (waiting: Waiting[], most: number): Waiting[] => {
  const batch: Waiting[] = [];
  let size = 0;
  while (waiting[0] && (size === 0 || size + waiting[0].values.length <= most)) {
    const next = waiting.shift()!;
    batch.push(next);
    size += next.values.length;
  }
  return batch;
};

const settleBatch = (batch: readonly Waiting[], result: Appended) => {
  let from = 0;
  batch.forEach(({ values, settle }) => {
    settle(result.ok ? ok(result.value.slice(from, from + values.length)) : fail(result.err));
    from += values.length;
  });
};

/**
 * Wraps a log so that appends to one partition travel together. At most one append of a partition
 * is on its way; what comes meanwhile goes with the next, so the rate of appends is bounded by the
 * log's own pace and by the linger, whatever the rate of values.
 */
export const createBatchingLog = (log: Log, options: BatchingLogOptions): Log => {
  const { clock, lingerMs, most } = options;
  const batchers = new Map<string, Batcher>();

  const createBatcher = (topic: string, partition: number): Batcher => {
    const waiting: Waiting[] = [];
    let isBusy = false;

    const run = async () => {
      isBusy = true;
      if (lingerMs > 0) {
        await new Promise<void>((resolve) => {
          clock.after(lingerMs, resolve);
        });
      }
      while (waiting.length > 0) {
        const batch = takeBatch(waiting, most);
        const values = batch.flatMap((entry) => entry.values);
        settleBatch(batch, await log.append(topic, partition, values));
      }
      isBusy = false;
    };

    return {
      add: (values) =>
        new Promise((settle) => {
          waiting.push({ values, settle });
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
