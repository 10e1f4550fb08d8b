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
  /** `UNCONFIRMED_OFFSET` for one that the log has not shown since it was restored from an older copy. */
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
  /** Generation of the log that the offsets are of; -1 before the first record. */
  generation(): number;
  /** Offset after the last record that this mirror knows; -1 before the first. */
  end(): number;
  items(): KeyedItem[];
  /**
   * Takes records in the order of their offsets; older ones than held are left out, and so are all of another
   * generation than the mirror's.
   */
  apply(records: readonly KeyedRecord[], end: number, generation?: number): void;
  /**
   * Takes a whole picture as of `end`; false for one that is older than this mirror, which is left out. One of a
   * later generation is the log's restored copy: what it lacks is kept, as its writers write it again.
   */
  replace(items: readonly KeyedItem[], end: number, generation?: number): boolean;
  /** Keys that the log has not shown since it was restored. */
  unconfirmed(): string[];
  /** Drops the keys that the log has not shown since it was restored. */
  dropUnconfirmed(): void;
  /** What has been dropped since an offset, and the items that are newer, for a peer. */
  changesAfter(offset: number): KeyedRecord[];
}

/** Options of `createKeyedMirror`. */
export interface KeyedMirrorOptions {
  /** Order of a key's values by their content. Where it tells two values apart, their offsets don't count. */
  isNewer?: (value: Uint8Array, than: Uint8Array) => boolean;
}

/** Offset of an item that is kept from before a restore of the log. */
export const UNCONFIRMED_OFFSET = -1;

/** Dropped keys that are remembered, so that a peer learns of them. */
const DROPPED_KEPT = 512;
/** A log that doesn't tell its generation, or was never restored. */
const FIRST_GENERATION = 0;

/** Creates an empty mirror; `onChange` is told of each key that changes. */
export const createKeyedMirror = (
  onChange: (change: KeyedChange) => void,
  options: KeyedMirrorOptions = {},
): KeyedMirror => {
  const { isNewer = () => false } = options;
  const items = new Map<string, KeyedItem>();
  const dropped = new Map<string, number>();
  let generation = -1;
  let end = -1;

  const isOld = (key: string, offset: number): boolean => {
    const held = items.get(key)?.offset ?? dropped.get(key);
    return held !== undefined && offset <= held;
  };

  const drop = (key: string, offset: number): void => {
    dropped.delete(key);
    dropped.set(key, offset);
    if (dropped.size > DROPPED_KEPT) dropped.delete(dropped.keys().next().value ?? key);
    if (items.delete(key)) onChange({ key, value: undefined });
  };

  const hold = (item: KeyedItem): void => {
    dropped.delete(item.key);
    items.set(item.key, item);
    onChange({ key: item.key, value: item.value });
  };

  const take = ({ key, value, offset }: KeyedRecord): void => {
    const held = items.get(key);
    if (held && value && isNewer(held.value, value)) {
      // Filed under the offset of the older value, so that peers that ask from there on learn the newer one.
      items.set(key, { ...held, offset: Math.max(held.offset, offset) });
      return;
    }
    if (held && value && isNewer(value, held.value)) {
      hold({ key, value, offset: Math.max(held.offset, offset) });
      return;
    }
    if (isOld(key, offset)) return;
    if (value === undefined) drop(key, offset);
    else hold({ key, value, offset });
  };

  /** Nothing that is held can be placed among the offsets of a restored log, which gives them out again. */
  const forgetOffsets = (): void => {
    dropped.clear();
    items.forEach((item) => {
      items.set(item.key, { ...item, offset: UNCONFIRMED_OFFSET });
    });
  };

  const takeAll = (all: readonly KeyedItem[]): void => {
    // In the order of writing: what was listed last at an address is there now.
    [...all].sort((a, b) => a.offset - b.offset).forEach(take);
  };

  const dropMissing = (all: readonly KeyedItem[], newEnd: number): void => {
    const present = new Set(all.map(({ key }) => key));
    [...items.values()]
      .filter(({ offset }) => offset !== UNCONFIRMED_OFFSET && offset < newEnd)
      .filter(({ key }) => !present.has(key))
      .forEach(({ key }) => drop(key, newEnd - 1));
  };

  const unconfirmed = (): string[] =>
    [...items.values()].filter(({ offset }) => offset === UNCONFIRMED_OFFSET).map(({ key }) => key);

  return {
    generation: () => generation,
    end: () => end,
    items: () => [...items.values()],
    apply: (records, newEnd, of = FIRST_GENERATION) => {
      if (generation >= 0 && of !== generation) return;
      generation = of;
      records.forEach(take);
      end = Math.max(end, newEnd);
    },
    replace: (all, newEnd, of = FIRST_GENERATION) => {
      // A store that answers with a picture from before what this node has seen would bring
      // servers back that have left, and take the newest intent away.
      if (of < generation || (of === generation && newEnd < end)) return false;
      const isRestored = generation >= 0 && of > generation;
      generation = of;
      if (isRestored) forgetOffsets();
      takeAll(all);
      if (!isRestored) dropMissing(all, newEnd);
      end = newEnd;
      return true;
    },
    unconfirmed,
    dropUnconfirmed: () => unconfirmed().forEach((key) => drop(key, UNCONFIRMED_OFFSET)),
    changesAfter: (offset) => [
      ...[...items.values()].filter((item) => item.offset >= offset),
      ...[...dropped]
        .filter(([, at]) => at >= offset)
        .map(([key, at]) => ({ key, value: undefined, offset: at })),
    ],
  };
};
