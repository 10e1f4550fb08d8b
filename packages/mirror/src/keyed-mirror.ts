/** A copy of a keyed topic of the platform's log: the newest value of each key. */

/** One record of a keyed topic; without a value the key is dropped. */
export interface KeyedRecord {
  key: string;
  value: Uint8Array | undefined;
  offset: number;
}

/** A value that a mirror holds. */
export interface KeyedItem {
  key: string;
  value: Uint8Array;
  offset: number;
}

/** What one record changed. */
export interface KeyedChange {
  key: string;
  /** Undefined: the key is gone. */
  value: Uint8Array | undefined;
}

/** The newest value of each key, never older than what it held before. */
export interface KeyedMirror {
  /** Offset after the last record that this mirror knows; -1 before the first. */
  end(): number;
  items(): KeyedItem[];
  /** Takes records in the order of their offsets; older ones than held are left out. */
  apply(records: readonly KeyedRecord[], end: number): void;
  /** Takes a whole picture as of `end`; one that is older than this mirror is left out. */
  replace(items: readonly KeyedItem[], end: number): void;
  /** What has been dropped since an offset, and the items that are newer, for a peer. */
  changesAfter(offset: number): KeyedRecord[];
}

/** Dropped keys that are remembered, so that a peer learns of them. */
const DROPPED_KEPT = 512;

/** Creates an empty mirror; `onChange` is told of each key that changes. */
export const createKeyedMirror = (onChange: (change: KeyedChange) => void): KeyedMirror => {
  const items = new Map<string, KeyedItem>();
  const dropped = new Map<string, number>();
  let end = -1;

  const isOld = (key: string, offset: number): boolean => {
    const held = items.get(key)?.offset ?? dropped.get(key) ?? -1;
    return offset <= held;
  };

  const drop = (key: string, offset: number): void => {
    dropped.delete(key);
    dropped.set(key, offset);
    if (dropped.size > DROPPED_KEPT) dropped.delete(dropped.keys().next().value ?? key);
    if (items.delete(key)) onChange({ key, value: undefined });
  };

  const take = ({ key, value, offset }: KeyedRecord): void => {
    if (isOld(key, offset)) return;
    if (value === undefined) {
      drop(key, offset);
      return;
    }
    dropped.delete(key);
    items.set(key, { key, value, offset });
    onChange({ key, value });
  };

  return {
    end: () => end,
    items: () => [...items.values()],
    apply: (records, newEnd) => {
      records.forEach(take);
      end = Math.max(end, newEnd);
    },
    replace: (all, newEnd) => {
      // A store that answers with a picture from before what this node has seen would bring
      // servers back that have left, and take the newest intent away.
      if (newEnd < end) return;
      const present = new Set(all.map(({ key }) => key));
      // In the order of writing: what was listed last at an address is there now.
      [...all].sort((a, b) => a.offset - b.offset).forEach(take);
      [...items.values()]
        .filter(({ key, offset }) => !present.has(key) && offset < newEnd)
        .forEach(({ key }) => drop(key, newEnd - 1));
      end = newEnd;
    },
    changesAfter: (offset) => [
      ...[...items.values()].filter((item) => item.offset >= offset),
      ...[...dropped]
        .filter(([, at]) => at >= offset)
        .map(([key, at]) => ({ key, value: undefined, offset: at })),
    ],
  };
};
