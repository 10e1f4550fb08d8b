import { fail, ok, sleep } from '@plantaindrum/common';
import type { ManualClock, Result } from '@plantaindrum/common';
import type { Log, LogFailure, LogRecord } from '@plantaindrum/service-clients';

/** Faults of one client's way to the log. */
export interface LogFaults {
  down: boolean;
  /** Every answer is this late, in milliseconds. */
  slowMs: number;
  /** Records reach readers this much later than that, in milliseconds. */
  slowReadMs: number;
  /** The next append takes effect, and its answer is lost. */
  loseNextAnswer: boolean;
  /** The next append fails as if its answer were lost, without an effect. */
  loseNextAppend: boolean;
}

/** The log in memory, with time by a manual clock. */
export interface FakeLog {
  records: LogRecord[];
  appends: number;
  /** A client with faults of its own; faults set on the log hold for all. */
  client(): Log & { faults: LogFaults };
  faults: LogFaults;
  append(value: unknown): number;
  /** Drops every record below `beginning`. */
  expire(beginning: number): void;
  /** Forgets every record from `end` on, as a restore from an old copy does. */
  truncate(end: number): void;
  beginning(): number;
  end(): number;
}

const noFaults = (): LogFaults => ({
  down: false,
  slowMs: 0,
  slowReadMs: 0,
  loseNextAnswer: false,
  loseNextAppend: false,
});

const failed = (kind: LogFailure['kind']): { ok: false; err: LogFailure } =>
  fail({ kind, retryAfterMs: 100 });

/** Creates an empty log. */
export const createFakeLog = (clock: ManualClock): FakeLog => {
  let records: LogRecord[] = [];
  let first = 0;
  let next = 0;
  let appends = 0;
  let readers: (() => void)[] = [];
  const shared = noFaults();

  const push = (value: unknown): number => {
    const offset = next;
    next += 1;
    records.push({ offset, value: JSON.parse(JSON.stringify(value)) });
    const woken = readers;
    readers = [];
    woken.forEach((wake) => wake());
    return offset;
  };

  const pause = async (ms: number): Promise<void> => {
    if (ms > 0) await sleep(clock, ms);
  };

  const nextRecord = (waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const cancel = clock.after(waitMs, resolve);
      readers.push(() => {
        cancel();
        resolve();
      });
    });

  const client = (): Log & { faults: LogFaults } => {
    const faults = noFaults();
    const isDown = (): boolean => faults.down || shared.down;

    const answer = async <T>(
      work: () => Promise<Result<T, LogFailure>>,
    ): Promise<Result<T, LogFailure>> => {
      if (isDown()) return failed('unavailable');
      const result = await work();
      const slowMs = faults.slowMs + shared.slowMs;
      await pause(slowMs);
      return isDown() ? failed('unknown') : result;
    };

    return {
      faults,
      offsets: () => answer(async () => ok({ beginning: first, end: next })),
      read: (_topic, _partition, offset, waitMs) =>
        answer(async () => {
          if (offset < first || offset > next) return failed('out-of-range');
          if (offset === next && waitMs > 0) await nextRecord(waitMs);
          await pause(faults.slowReadMs);
          return ok(records.filter((record) => record.offset >= offset).slice(0, 100));
        }),
      append: (_topic, _partition, values) =>
        answer(async () => {
          appends += 1;
          const loseBefore = faults.loseNextAppend;
          const loseAfter = faults.loseNextAnswer;
          faults.loseNextAppend = false;
          faults.loseNextAnswer = false;
          if (loseBefore) return failed('unknown');
          const offsets = values.map(push);
          return loseAfter ? failed('unknown') : ok(offsets);
        }),
    };
  };

  return {
    get records() {
      return records;
    },
    get appends() {
      return appends;
    },
    client,
    faults: shared,
    append: push,
    expire: (beginning) => {
      first = Math.max(first, Math.min(beginning, next));
      records = records.filter((record) => record.offset >= first);
    },
    truncate: (end) => {
      next = end;
      records = records.filter((record) => record.offset < end);
    },
    beginning: () => first,
    end: () => next,
  };
};
