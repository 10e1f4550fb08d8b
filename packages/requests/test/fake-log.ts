import { fail, ok } from '@plantaindrum/common';
import type { Log, LogFailure, LogRecord } from '@plantaindrum/service-clients';

/** What happens to one append. */
export type AppendFault = 'none' | 'down' | 'lost-answer' | 'lost-request' | 'late-effect';

const failure = (kind: LogFailure['kind']): LogFailure => ({ kind, retryAfterMs: 500 });

/** A log in memory; `step` is awaited around every effect, so that a test orders the effects. */
export const createFakeLog = (step: (label: string) => Promise<void> = async () => {}) => {
  const partitions = new Map<string, { records: LogRecord[]; beginning: number }>();
  const faults: AppendFault[] = [];
  let isDown = false;
  let appends = 0;
  let reads = 0;

  const partitionOf = (topic: string, partition: number) => {
    const name = `${topic}/${partition}`;
    const found = partitions.get(name) ?? { records: [], beginning: 0 };
    partitions.set(name, found);
    return found;
  };

  const endOf = ({ records, beginning }: { records: LogRecord[]; beginning: number }) =>
    (records.at(-1)?.offset ?? beginning - 1) + 1;

  const log: Log = {
    append: async (topic, partition, values) => {
      const fault = faults.shift() ?? 'none';
      const target = partitionOf(topic, partition);
      const store = () =>
        values.map((value) => {
          const offset = endOf(target);
          target.records.push({ offset, value: JSON.parse(JSON.stringify(value)) as unknown });
          return offset;
        });
      appends += 1;
      await step('append');
      if (isDown || fault === 'down') return fail(failure('unavailable'));
      if (fault === 'lost-request') return fail(failure('unknown'));
      if (fault === 'late-effect') {
        void step('late effect').then(store);
        return fail(failure('unknown'));
      }
      const offsets = store();
      await step('append answer');
      return fault === 'lost-answer' ? fail(failure('unknown')) : ok(offsets);
    },
    read: async (topic, partition, offset) => {
      reads += 1;
      await step('read');
      const { records, beginning } = partitionOf(topic, partition);
      if (isDown) return fail(failure('unavailable'));
      if (offset < beginning) return fail(failure('out-of-range'));
      const found = records.filter((record) => record.offset >= offset).slice(0, 3);
      await step('read answer');
      return ok(found);
    },
    offsets: async (topic, partition) => {
      await step('offsets');
      const found = partitionOf(topic, partition);
      return isDown
        ? fail(failure('unavailable'))
        : ok({ beginning: found.beginning, end: endOf(found) });
    },
  };

  return {
    log,
    faults,
    setDown: (down: boolean) => {
      isDown = down;
    },
    /** Drops all records, as retention does. */
    forgetAll: () => {
      partitions.forEach((found) => Object.assign(found, { beginning: endOf(found), records: [] }));
    },
    counts: () => ({ appends, reads }),
    values: () => [...partitions.values()].flatMap(({ records }) => records.map((r) => r.value)),
  };
};
