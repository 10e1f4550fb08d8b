import type { Clock } from '@plantaindrum/common';

/** A record in the format that readers receive. */
export interface LogRecord {
  topic: string;
  partition: number;
  offset: number;
  key: unknown;
  value: unknown;
}

/** Limits on the retained records, by count and by age; the first one reached applies. */
export interface Retention {
  records: number;
  ms: number;
}

/**
 * One partition: an append-only sequence of records whose oldest entries are deleted by retention.
 */
export interface Partition {
  append(record: { key?: unknown; value: unknown }): number;
  begin(): number;
  end(): number;
  /**
   * Returns the records from `offset` on that fit into `maxBytes`, but at least one if any exists.
   */
  read(offset: number, maxBytes: number): LogRecord[];
  /** Deletes all records below `offset`, as retention does. */
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
    const expiredUntil = clock.now() - retention.ms;
    const firstKept = records.findIndex((entry) => entry.at > expiredUntil);
    expire(first + (firstKept < 0 ? records.length : firstKept));
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
      const selected: LogRecord[] = [];
      let bytes = 0;
      for (const { size, record } of records.slice(Math.max(0, offset - first))) {
        bytes += size;
        if (selected.length > 0 && bytes > maxBytes) break;
        selected.push(record);
      }
      return selected;
    },
    expire,
  };
};
