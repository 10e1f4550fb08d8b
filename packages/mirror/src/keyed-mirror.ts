/** A local copy of a keyed topic of the platform's log: the latest value of each key. */

/** One record of a keyed topic; a record without a value deletes its key. */
export interface KeyedRecord {
  key: string;
  value: Uint8Array | undefined;
  offset: number;
}

/** A value that a mirror holds. */
export interface KeyedItem {
  key: string;
  value: Uint8Array;
  /** `UNCONFIRMED_OFFSET` for an item not seen in the log since it was restored from an older copy. */
  offset: number;
}

/** A change of one key in a mirror. */
export interface KeyedChange {
  key: string;
  /** Undefined if the key was deleted. */
  value: Uint8Array | undefined;
}

/** The latest value of each key. A value is never replaced by an older one. */
export interface KeyedMirror {
  /** Generation of the log that the offsets belong to; -1 before the first record. */
  generation(): number;
  /** Offset after the last record that this mirror knows; -1 before the first. */
  end(): number;
  items(): KeyedItem[];
  /**
   * Applies records in the order of their offsets. Skips records that are older than the held value of their key,
   * and all records if they are of another generation than the mirror.
   */
  apply(records: readonly KeyedRecord[], end: number, generation?: number): void;
  /**
   * Applies a full snapshot as of `end`, and the deletions that its source still knows. Returns false and changes
   * nothing if it is older than this mirror. A snapshot of a later generation is of a restored log: keys that it lacks
   * are kept as unconfirmed, since their writers are expected to rewrite them.
   */
  replace(
    items: readonly KeyedItem[],
    end: number,
    generation?: number,
    deletions?: readonly KeyedRecord[],
  ): boolean;
  /** Offset from which on this mirror knows all deletions; before it, it has seen a snapshot only. */
  historyStart(): number;
  /** Keys not seen in the log since it was restored. */
  unconfirmed(): string[];
  /** Deletes the keys not seen in the log since it was restored. */
  dropUnconfirmed(): void;
  /** Items and deletions from an offset on, for a peer. */
  changesAfter(offset: number): KeyedRecord[];
}

/** Options of `createKeyedMirror`. */
export interface KeyedMirrorOptions {
  /** Orders a key's values by their content; takes precedence over their offsets. */
  isNewer?: (value: Uint8Array, than: Uint8Array, key: string) => boolean;
  /**
   * Whether a deletion stays in force when the log is restored from a copy that still has the deleted record. Only for
   * topics whose keys are not rewritten regularly: the record is recognised by its offset.
   */
  keepsDeletions?: boolean;
}

/** Offset of an item that was held before the log was restored and has not been seen in the log since. */
export const UNCONFIRMED_OFFSET = -1;

/** How many deleted keys are remembered, so that peers learn of the deletions. */
const MAX_DROPPED_KEYS = 512;
/** Generation of a log that was never restored, or that doesn't report its generation. */
export const FIRST_GENERATION = 0;

interface Deletion {
  /** Offset of the deletion. */
  at: number;
  /** Offset of the record that it deleted, if that is known. */
  itemOffset: number | undefined;
}

/** Returns the values that records leave behind, without those that delete a key. */
export const toItems = (records: readonly KeyedRecord[]): KeyedItem[] =>
  records.flatMap(({ key, value, offset }) =>
    value === undefined ? [] : [{ key, value, offset }],
  );

/** Creates an empty mirror; `onChange` is called for each key that changes. */
export const createKeyedMirror = (
  onChange: (change: KeyedChange) => void,
  options: KeyedMirrorOptions = {},
): KeyedMirror => {
  const { isNewer = () => false, keepsDeletions = false } = options;
  const items = new Map<string, KeyedItem>();
  const dropped = new Map<string, Deletion>();
  let generation = -1;
  let end = -1;
  let historyStart = -1;

  const isStale = (key: string, offset: number): boolean => {
    const held = items.get(key)?.offset ?? dropped.get(key)?.at;
    return held !== undefined && offset <= held;
  };

  const drop = (key: string, at: number, itemOffset = items.get(key)?.offset): void => {
    dropped.delete(key);
    dropped.set(key, { at, itemOffset });
    if (dropped.size > MAX_DROPPED_KEYS) {
      const [oldest] = dropped;
      if (oldest) dropped.delete(oldest[0]);
      historyStart = Math.max(historyStart, (oldest?.[1].at ?? -1) + 1);
    }
    if (items.delete(key)) onChange({ key, value: undefined });
  };

  const setItem = (item: KeyedItem): void => {
    dropped.delete(item.key);
    items.set(item.key, item);
    onChange({ key: item.key, value: item.value });
  };

  const applyRecord = ({ key, value, offset }: KeyedRecord): void => {
    const held = items.get(key);
    if (held && value && isNewer(held.value, value, key)) {
      // Takes the offset of the older value, so that peers that fetch from that offset on get the newer one.
      items.set(key, { ...held, offset: Math.max(held.offset, offset) });
      return;
    }
    if (held && value && isNewer(value, held.value, key)) {
      setItem({ key, value, offset: Math.max(held.offset, offset) });
      return;
    }
    if (value === undefined) {
      // At the same offset the deletion is the later one: it was kept for a record of a restored log.
      const isLater = held ? offset >= held.offset : !isStale(key, offset);
      if (isLater) drop(key, offset);
    } else if (!isStale(key, offset)) setItem({ key, value, offset });
  };

  /** A restored log assigns offsets anew, so those held so far can't be compared with its own. */
  const markAllUnconfirmed = (): void => {
    dropped.clear();
    historyStart = -1;
    items.forEach((item) => {
      items.set(item.key, { ...item, offset: UNCONFIRMED_OFFSET });
    });
  };

  const applyItems = (allItems: readonly KeyedItem[]): void => {
    // In the order of writing: of several keys listed at one address, the one written last is there now.
    [...allItems].sort((a, b) => a.offset - b.offset).forEach(applyRecord);
  };

  const dropMissing = (allItems: readonly KeyedItem[], newEnd: number): void => {
    const present = new Set(allItems.map(({ key }) => key));
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
    apply: (records, newEnd, ofGeneration = FIRST_GENERATION) => {
      if (generation >= 0 && ofGeneration !== generation) return;
      generation = ofGeneration;
      records.forEach(applyRecord);
      end = Math.max(end, newEnd);
    },
    replace: (allItems, newEnd, ofGeneration = FIRST_GENERATION, deletions = []) => {
      // A lagging store may return a snapshot older than what this node has seen. Applying it
      // would bring back servers that have left and undo the latest intent.
      if (ofGeneration < generation || (ofGeneration === generation && newEnd < end)) return false;
      const isRestored = generation >= 0 && ofGeneration > generation;
      generation = ofGeneration;
      const kept = new Map(keepsDeletions && isRestored ? dropped : []);
      if (isRestored) markAllUnconfirmed();
      // The copy that the log was restored from may be older than a deletion, and has the deleted record again.
      applyItems(allItems.filter(({ key, offset }) => kept.get(key)?.itemOffset !== offset));
      // A snapshot lacks deleted keys and lost ones alike: of an unconfirmed key only its deletion shows which it is.
      deletions.forEach(applyRecord);
      if (!isRestored) dropMissing(allItems, newEnd);
      kept.forEach(({ itemOffset }, key) => {
        if (!items.has(key)) drop(key, newEnd - 1, itemOffset);
      });
      historyStart = newEnd;
      end = newEnd;
      return true;
    },
    historyStart: () => historyStart,
    unconfirmed,
    dropUnconfirmed: () => unconfirmed().forEach((key) => drop(key, UNCONFIRMED_OFFSET)),
    changesAfter: (offset) => [
      ...[...items.values()].filter((item) => item.offset >= offset),
      ...[...dropped]
        .filter(([, { at }]) => at >= offset)
        .map(([key, { at }]) => ({ key, value: undefined, offset: at })),
    ],
  };
};
