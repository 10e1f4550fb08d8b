import type { Clock } from '@plantaindrum/common';

/** A record as readers get it. */
export interface LogRecord {
  topic: string;
  partition: number;
  offset: number;
  key: unknown;
  value: unknown;
}

/** How long records are kept; whichever bound is reached first. */
export interface Retention {
  records: number;
  ms: number;
}

/** One partition: an append-only run of records, trimmed at its start by the retention. */
export interface Partition {
  append(record: { key?: unknown; value: unknown }): number;
  begin(): number;
  end(): number;
  /** Records from `offset` on, as many as fit `maxBytes`, at least one if there is one. */
  read(offset: number, maxBytes: number): LogRecord[];
  /** Drops every record below `offset`, as if the retention had passed. */
  expire(offset: number): void;
}

/** Creates an empty partition. */
export const createPartition = (
  topic: string,
  index: number,
  clock: Clock,
  retention: Retention,
): Partition => {
  let first = 0;
  let records: { at: number; size: number; record: LogRecord }[] = [];

  const expire = (offset: number): void => {
    const drop = Math.min(Math.max(0, offset - first), records.length);
    records = records.slice(drop);
    first += drop;
  };

  const trim = (): void => {
    const oldest = clock.now() - retention.ms;
    const aged = records.findIndex((entry) => entry.at > oldest);
    expire(first + (aged < 0 ? records.length : aged));
    expire(first + records.length - retention.records);
  };

  return {
    append: ({ key = null, value }) => {
      const offset = first + records.length;
      const record = { topic, partition: index, offset, key, value };
      records.push({ at: clock.now(), size: JSON.stringify(record).length, record });
      return offset;
    },
    begin: () => {
      trim();
      return first;
    },
    end: () => first + records.length,
    read: (offset, maxBytes) => {
      trim();
      const answer: LogRecord[] = [];
      let bytes = 0;
      for (const { size, record } of records.slice(Math.max(0, offset - first))) {
        bytes += size;
        if (answer.length > 0 && bytes > maxBytes) break;
        answer.push(record);
      }
      return answer;
    },
    expire,
  };
};
