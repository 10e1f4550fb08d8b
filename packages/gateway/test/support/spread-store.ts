/** The store of a simulated site: one topic with the intent, and how it treats each caller. */

import type { ManualClock } from '@plantaindrum/common';
import type {
  KeyedRecord,
  KeyedTopic,
  LogFailure,
  LogLatestOutcome,
  LogReadOutcome,
} from '@plantaindrum/mirror';

/** Name of the topic with the intent. */
export const SIM_TOPIC = 'intent';
const KEY = 'config';
const STORE_MS = 4;
const ANSWER_TIMEOUT_MS = 1_500;

/** How the store treats calls. */
export type StoreAccess = 'up' | 'refusing' | 'silent';

/** A process that calls the store. */
export interface StoreCaller {
  /** Counts the starts; an answer to an earlier process is lost. */
  boot: number;
  access: StoreAccess;
  /** When its connections last went silent. */
  silencedAt: number;
}

/** Creates a store whose topic is empty. */
export const createSimStore = (clock: ManualClock) => {
  const records: KeyedRecord[] = [];
  const waiting = new Set<() => void>();
  let generation = 1;
  let first = 0;
  let access: StoreAccess = 'up';
  let disturbedAt = -Infinity;

  const after = (ms: number): Promise<void> =>
    new Promise((resolve) => {
      clock.after(ms, resolve);
    });

  /** Answers a call as the store would; the answer is lost if its connection goes silent meanwhile. */
  const callStore = async <Answer>(
    caller: StoreCaller,
    waitMs: number,
    answer: () => Promise<Answer>,
  ): Promise<Answer | { outcome: 'failed'; why: LogFailure }> => {
    const sentAt = clock.monotonic();
    const { boot } = caller;
    const reach = (): StoreAccess => (access === 'up' ? caller.access : access);
    if (reach() === 'refusing') {
      await after(STORE_MS);
      return { outcome: 'failed', why: 'refused' };
    }
    const outcome = reach() === 'up' ? await Promise.all([answer(), after(STORE_MS)]) : undefined;
    const isLost = outcome === undefined || reach() === 'silent' || caller.silencedAt >= sentAt;
    if (!isLost || caller.boot !== boot) {
      return outcome?.[0] ?? { outcome: 'failed', why: 'no-answer' };
    }
    await after(Math.max(0, sentAt + waitMs + ANSWER_TIMEOUT_MS - clock.monotonic()));
    return { outcome: 'failed', why: 'no-answer' };
  };

  const awaitRecord = (waitMs: number): Promise<void> =>
    new Promise((resolve) => {
      const finish = (): void => {
        waiting.delete(finish);
        resolve();
      };
      waiting.add(finish);
      clock.after(waitMs, finish);
    });

  const topicOf = (caller: StoreCaller): KeyedTopic => ({
    name: SIM_TOPIC,
    read: (from, waitMs) =>
      callStore(caller, waitMs, async (): Promise<LogReadOutcome> => {
        if (from >= records.length && waitMs > 0) await awaitRecord(waitMs);
        if (from < first || from > records.length) return { outcome: 'expired', generation };
        return {
          outcome: 'records',
          records: records.slice(from),
          end: records.length,
          generation,
        };
      }),
    readLatest: () =>
      callStore(caller, 0, async (): Promise<LogLatestOutcome> => {
        const items = records
          .slice(-1)
          .flatMap(({ key, value, offset }) => (value ? [{ key, value, offset }] : []));
        return { outcome: 'items', items, hasMore: false, end: records.length, generation };
      }),
  });

  const wakeReaders = (): void => [...waiting].forEach((finish) => finish());

  return {
    topicOf,
    access: () => access,
    setAccess: (next: StoreAccess): void => {
      access = next;
      disturbedAt = clock.monotonic();
    },
    write: (version: number): void => {
      records.push({ key: KEY, value: Buffer.from(String(version)), offset: records.length });
      wakeReaders();
    },
    /** Restores the store from a copy that lacks its last records; the operators then write the latest again. */
    restore: (lost: number): void => {
      records.splice(Math.max(1, records.length - lost));
      first = Math.min(first, records.length);
      generation += 1;
      disturbedAt = clock.monotonic();
      wakeReaders();
    },
    /** Deletes the records of the topic but the newest value. */
    forgetHistory: (): void => {
      first = records.length;
    },
    /** Milliseconds since the store last changed how it treats all callers. */
    calmMs: () => (access === 'up' ? clock.monotonic() - disturbedAt : 0),
  };
};
