/** The platform's log in memory, with faults and with time by hand, for tests of all packages. */

import { fail, ok, sleep } from '@plantaindrum/common';
import type { ManualClock, Result } from '@plantaindrum/common';
import type { Log, LogFailure, LogRecord } from '@plantaindrum/service-clients';

/** What happens to one append; `late-effect` is lost for its caller and takes effect later. */
export type AppendFault = 'none' | 'down' | 'lost-answer' | 'lost-request' | 'late-effect';

/** Faults of one client's way to the log, or of the log itself. */
export interface LogFaults {
  down: boolean;
  /** Every answer is this late, in milliseconds. */
  slowMs: number;
  /** Records reach readers this much later than that, in milliseconds. */
  slowReadMs: number;
  /** What happens to the next appends, in order. */
  appends: AppendFault[];
}

/** One client's way to the log, with faults of its own. */
export interface MemoryLogClient extends Log {
  faults: LogFaults;
}

/** The log, shared by its clients. */
export interface MemoryLog {
  /** A client of the log; the faults of `log.faults` hold for all clients. */
  client(): MemoryLogClient;
  faults: LogFaults;
  /** Appends to the first partition, past all faults. */
  append(value: unknown): number;
  /** Records of all partitions. */
  readonly records: LogRecord[];
  values(): unknown[];
  /** Calls that reached the log while it was up. */
  counts(): { appends: number; reads: number };
  /** Drops every record below `beginning`, as retention does. */
  expire(beginning: number): void;
  /** Drops all records, as retention does. */
  forgetAll(): void;
  /** Forgets every record from `end` on, as a restore from an old copy does. */
  truncate(end: number): void;
  /** Offset of the next record of the first partition. */
  end(): number;
}

/** Options of `createMemoryLog`. */
export interface MemoryLogOptions {
  /** Lets reads wait for records, and answers be late; without it reads return at once. */
  clock?: ManualClock;
  /** Awaited around every effect, so that a test orders the effects. */
  step?: (label: string) => Promise<void>;
  /** Most records that one read returns. */
  pageSize?: number;
}

interface Partition {
  records: LogRecord[];
  first: number;
  next: number;
}

/** Topic and partition that `append` writes to when no client has named another yet. */
const DEFAULT_NAME = 'first';
const RETRY_AFTER_MS = 500;

const noFaults = (): LogFaults => ({ down: false, slowMs: 0, slowReadMs: 0, appends: [] });

const failed = (kind: LogFailure['kind']): { ok: false; err: LogFailure } =>
  fail({ kind, retryAfterMs: RETRY_AFTER_MS });

/** Creates an empty log. */
export const createMemoryLog = (options: MemoryLogOptions = {}): MemoryLog => {
  const { clock, step = async () => {}, pageSize = 100 } = options;
  const partitions = new Map<string, Partition>();
  const shared = noFaults();
  const counts = { appends: 0, reads: 0 };
  let readers: (() => void)[] = [];

  const firstPartition = (): Partition => {
    const [found] = partitions.values();
    const partition = found ?? { records: [], first: 0, next: 0 };
    if (!found) partitions.set(DEFAULT_NAME, partition);
    return partition;
  };

  const partitionOf = (topic: string, partition: number): Partition => {
    const name = `${topic}/${partition}`;
    const early = partitions.get(DEFAULT_NAME);
    partitions.delete(DEFAULT_NAME);
    const found = partitions.get(name) ?? early ?? { records: [], first: 0, next: 0 };
    partitions.set(name, found);
    return found;
  };

  const push = (to: Partition, value: unknown): number => {
    const offset = to.next;
    Object.assign(to, { next: offset + 1 });
    to.records.push({ offset, value: JSON.parse(JSON.stringify(value)) as unknown });
    const woken = readers;
    readers = [];
    woken.forEach((wake) => wake());
    return offset;
  };

  const pause = async (ms: number): Promise<void> => {
    if (clock && ms > 0) await sleep(clock, ms);
  };

  const nextRecord = async (by: ManualClock, waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const cancel = by.after(waitMs, resolve);
      readers.push(() => {
        cancel();
        resolve();
      });
    });

  const client = (): MemoryLogClient => {
    const faults = noFaults();
    const isDown = (): boolean => faults.down || shared.down;

    const answer = async <T>(
      label: string,
      work: () => Promise<Result<T, LogFailure>>,
    ): Promise<Result<T, LogFailure>> => {
      await step(label);
      if (isDown()) return failed('unavailable');
      const result = await work();
      await pause(faults.slowMs + shared.slowMs);
      return clock && isDown() ? failed('unknown') : result;
    };

    return {
      faults,
      offsets: (topic, partition) =>
        answer('offsets', async () => {
          const { first, next } = partitionOf(topic, partition);
          return ok({ beginning: first, end: next });
        }),
      read: (topic, partition, offset, waitMs) => {
        counts.reads += 1;
        return answer('read', async () => {
          const from = partitionOf(topic, partition);
          if (offset < from.first || offset > from.next) return failed('out-of-range');
          if (clock && offset === from.next && waitMs > 0) await nextRecord(clock, waitMs);
          await pause(faults.slowReadMs + shared.slowReadMs);
          const found = from.records.filter((record) => record.offset >= offset);
          await step('read answer');
          return ok(found.slice(0, pageSize));
        });
      },
      append: (topic, partition, values) => {
        const fault = faults.appends.shift() ?? shared.appends.shift() ?? 'none';
        const store = (): number[] => {
          const to = partitionOf(topic, partition);
          return values.map((value) => push(to, value));
        };
        counts.appends += 1;
        return answer('append', async () => {
          if (fault === 'down') return failed('unavailable');
          if (fault === 'lost-request') return failed('unknown');
          if (fault === 'late-effect') {
            void step('late effect').then(store);
            return failed('unknown');
          }
          const offsets = store();
          await step('append answer');
          return fault === 'lost-answer' ? failed('unknown') : ok(offsets);
        });
      },
    };
  };

  const each = (change: (partition: Partition) => Partial<Partition>): void =>
    partitions.forEach((partition) => Object.assign(partition, change(partition)));
  const allRecords = (): LogRecord[] => [...partitions.values()].flatMap(({ records }) => records);

  return {
    client,
    faults: shared,
    append: (value) => push(firstPartition(), value),
    get records() {
      return allRecords();
    },
    values: () => allRecords().map(({ value }) => value),
    counts: () => ({ ...counts }),
    expire: (beginning) =>
      each(({ records, first, next }) => {
        const kept = Math.max(first, Math.min(beginning, next));
        return { first: kept, records: records.filter(({ offset }) => offset >= kept) };
      }),
    forgetAll: () => each(({ next }) => ({ first: next, records: [] })),
    truncate: (end) =>
      each(({ records }) => ({
        next: end,
        records: records.filter(({ offset }) => offset < end),
      })),
    end: () => firstPartition().next,
  };
};
