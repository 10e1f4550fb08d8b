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
   * Applies a full snapshot as of `end`. Returns false and changes nothing if it is older than this mirror. A snapshot
   * of a later generation is of a restored log: keys that it lacks are kept as unconfirmed, since their writers are
   * expected to rewrite them.
   */
  replace(items: readonly KeyedItem[], end: number, generation?: number): boolean;
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
  isNewer?: (value: Uint8Array, than: Uint8Array) => boolean;
}

/** Offset of an item that was held before the log was restored and has not been seen in the log since. */
export const UNCONFIRMED_OFFSET = -1;

/** How many deleted keys are remembered, so that peers learn of the deletions. */
const MAX_DROPPED_KEYS = 512;
/** Generation of a log that was never restored, or that doesn't report its generation. */
export const FIRST_GENERATION = 0;

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
  const { isNewer = () => false } = options;
  const items = new Map<string, KeyedItem>();
  const dropped = new Map<string, number>();
  let generation = -1;
  let end = -1;

  const isStale = (key: string, offset: number): boolean => {
    const held = items.get(key)?.offset ?? dropped.get(key);
    return held !== undefined && offset <= held;
  };

  const drop = (key: string, offset: number): void => {
    dropped.delete(key);
    dropped.set(key, offset);
    if (dropped.size > MAX_DROPPED_KEYS) dropped.delete(dropped.keys().next().value ?? key);
    if (items.delete(key)) onChange({ key, value: undefined });
  };

  const setItem = (item: KeyedItem): void => {
    dropped.delete(item.key);
    items.set(item.key, item);
    onChange({ key: item.key, value: item.value });
  };

  const applyRecord = ({ key, value, offset }: KeyedRecord): void => {
    const held = items.get(key);
    if (held && value && isNewer(held.value, value)) {
      // Takes the offset of the older value, so that peers that fetch from that offset on get the newer one.
      items.set(key, { ...held, offset: Math.max(held.offset, offset) });
      return;
    }
    if (held && value && isNewer(value, held.value)) {
      setItem({ key, value, offset: Math.max(held.offset, offset) });
      return;
    }
    if (isStale(key, offset)) return;
    if (value === undefined) drop(key, offset);
    else setItem({ key, value, offset });
  };

  /** A restored log assigns offsets anew, so those held so far can't be compared with its own. */
  const markAllUnconfirmed = (): void => {
    dropped.clear();
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
    replace: (allItems, newEnd, ofGeneration = FIRST_GENERATION) => {
      // A lagging store may return a snapshot older than what this node has seen. Applying it
      // would bring back servers that have left and undo the latest intent.
      if (ofGeneration < generation || (ofGeneration === generation && newEnd < end)) return false;
      const isRestored = generation >= 0 && ofGeneration > generation;
      generation = ofGeneration;
      if (isRestored) markAllUnconfirmed();
      applyItems(allItems);
      if (!isRestored) dropMissing(allItems, newEnd);
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
