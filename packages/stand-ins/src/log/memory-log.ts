/**
 * An in-memory implementation of the platform's log with faults and a manual clock, for the tests
 * of all packages.
 */

import { fail, ok, sleep } from '@plantaindrum/common';
import type { ManualClock, Result } from '@plantaindrum/common';
import type { Log, LogFailure, LogRecord } from '@plantaindrum/service-clients';

/**
 * Fault of one append. With all but `none` and `down` its outcome is unknown to the caller:
 * `lost-answer` takes effect, `lost-request` does not, and `late-effect` takes effect later.
 */
export type AppendFault = 'none' | 'down' | 'lost-answer' | 'lost-request' | 'late-effect';

/** Faults of one client's connection to the log, or of the log itself. */
export interface LogFaults {
  down: boolean;
  /** Delay of every response, in milliseconds. */
  responseDelayMs: number;
  /** Additional delay of the responses to reads, in milliseconds. */
  readDelayMs: number;
  /** Faults of the next appends, in order. */
  appends: AppendFault[];
}

/** A client of the log with its own faults. */
export interface MemoryLogClient extends Log {
  faults: LogFaults;
}

/** A log shared by its clients. */
export interface MemoryLog {
  /** Creates a client; its own faults apply in addition to `faults` below. */
  client(): MemoryLogClient;
  /** Faults that apply to all clients. */
  faults: LogFaults;
  /** Appends to the first partition, bypassing all faults. */
  append(value: unknown): number;
  /** Retained records of all partitions. */
  readonly records: LogRecord[];
  values(): unknown[];
  /** Number of calls so far, whether or not they succeeded. */
  counts(): { appends: number; reads: number };
  /** Deletes all records below `beginning`, as retention does. */
  expire(beginning: number): void;
  /** Deletes all records, as retention does. */
  expireAll(): void;
  /** Deletes all records from offset `end` on, as restoring an older copy does. */
  truncate(end: number): void;
  /** Offset of the next record of the first partition. */
  end(): number;
}

/** Options of `createMemoryLog`. */
export interface MemoryLogOptions {
  /** Clock for long polls and delays; without it, reads return at once and nothing is delayed. */
  clock?: ManualClock;
  /** Awaited before and after each effect, so that a test can control the order of effects. */
  syncPoint?: (label: string) => Promise<void>;
  /** Maximum number of records that one read returns. */
  pageSize?: number;
}

interface Partition {
  records: LogRecord[];
  first: number;
  next: number;
}

/** Key of the partition that `append` writes to before a client has named one. */
const UNNAMED_PARTITION = 'first';
const RETRY_AFTER_MS = 500;

const createFaults = (): LogFaults => ({
  down: false,
  responseDelayMs: 0,
  readDelayMs: 0,
  appends: [],
});

const failure = (kind: LogFailure['kind']): { ok: false; err: LogFailure } =>
  fail({ kind, retryAfterMs: RETRY_AFTER_MS });

/** Creates an empty log. */
export const createMemoryLog = (options: MemoryLogOptions = {}): MemoryLog => {
  const { clock, syncPoint = async () => {}, pageSize = 100 } = options;
  const partitions = new Map<string, Partition>();
  const sharedFaults = createFaults();
  const counts = { appends: 0, reads: 0 };
  let waitingReaders: (() => void)[] = [];

  const firstPartition = (): Partition => {
    const [found] = partitions.values();
    const partition = found ?? { records: [], first: 0, next: 0 };
    if (!found) partitions.set(UNNAMED_PARTITION, partition);
    return partition;
  };

  const partitionOf = (topic: string, partition: number): Partition => {
    const name = `${topic}/${partition}`;
    const unnamed = partitions.get(UNNAMED_PARTITION);
    partitions.delete(UNNAMED_PARTITION);
    const found = partitions.get(name) ?? unnamed ?? { records: [], first: 0, next: 0 };
    partitions.set(name, found);
    return found;
  };

  const appendRecord = (to: Partition, value: unknown): number => {
    const offset = to.next;
    Object.assign(to, { next: offset + 1 });
    to.records.push({ offset, value: JSON.parse(JSON.stringify(value)) as unknown });
    const woken = waitingReaders;
    waitingReaders = [];
    woken.forEach((wake) => wake());
    return offset;
  };

  const delay = async (ms: number): Promise<void> => {
    if (clock && ms > 0) await sleep(clock, ms);
  };

  const awaitNextRecord = async (by: ManualClock, waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const cancel = by.after(waitMs, resolve);
      waitingReaders.push(() => {
        cancel();
        resolve();
      });
    });

  const client = (): MemoryLogClient => {
    const faults = createFaults();
    const isDown = (): boolean => faults.down || sharedFaults.down;

    const respond = async <T>(
      label: string,
      work: () => Promise<Result<T, LogFailure>>,
    ): Promise<Result<T, LogFailure>> => {
      await syncPoint(label);
      if (isDown()) return failure('unavailable');
      const result = await work();
      await delay(faults.responseDelayMs + sharedFaults.responseDelayMs);
      return clock && isDown() ? failure('unknown') : result;
    };

    return {
      faults,
      offsets: (topic, partition) =>
        respond('offsets', async () => {
          const { first, next } = partitionOf(topic, partition);
          return ok({ beginning: first, end: next });
        }),
      read: (topic, partition, offset, waitMs) => {
        counts.reads += 1;
        return respond('read', async () => {
          const from = partitionOf(topic, partition);
          if (offset < from.first || offset > from.next) return failure('out-of-range');
          if (clock && offset === from.next && waitMs > 0) await awaitNextRecord(clock, waitMs);
          await delay(faults.readDelayMs + sharedFaults.readDelayMs);
          const found = from.records.filter((record) => record.offset >= offset);
          await syncPoint('read answer');
          return ok(found.slice(0, pageSize));
        });
      },
      append: (topic, partition, values) => {
        const fault = faults.appends.shift() ?? sharedFaults.appends.shift() ?? 'none';
        const store = (): number[] => {
          const to = partitionOf(topic, partition);
          return values.map((value) => appendRecord(to, value));
        };
        counts.appends += 1;
        return respond('append', async () => {
          if (fault === 'down') return failure('unavailable');
          if (fault === 'lost-request') return failure('unknown');
          if (fault === 'late-effect') {
            void syncPoint('late effect').then(store);
            return failure('unknown');
          }
          const offsets = store();
          await syncPoint('append answer');
          return fault === 'lost-answer' ? failure('unknown') : ok(offsets);
        });
      },
    };
  };

  const updateEach = (change: (partition: Partition) => Partial<Partition>): void =>
    partitions.forEach((partition) => Object.assign(partition, change(partition)));
  const allRecords = (): LogRecord[] => [...partitions.values()].flatMap(({ records }) => records);

  return {
    client,
    faults: sharedFaults,
    append: (value) => appendRecord(firstPartition(), value),
    get records() {
      return allRecords();
    },
    values: () => allRecords().map(({ value }) => value),
    counts: () => ({ ...counts }),
    expire: (beginning) =>
      updateEach(({ records, first, next }) => {
        const kept = Math.max(first, Math.min(beginning, next));
        return { first: kept, records: records.filter(({ offset }) => offset >= kept) };
      }),
    expireAll: () => updateEach(({ next }) => ({ first: next, records: [] })),
    truncate: (end) =>
      updateEach(({ records }) => ({
        next: end,
        records: records.filter(({ offset }) => offset < end),
      })),
    end: () => firstPartition().next,
  };
};
