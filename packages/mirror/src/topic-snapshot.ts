/** Reads the latest values of all keys of a topic, page by page. */

import type { KeyedItem, KeyedRecord } from './keyed-mirror.js';
import type { KeyedTopic, LogFailure } from './topic.js';

/** The latest values of all keys of a topic, as of `end`. */
export interface TopicSnapshot {
  items: KeyedItem[];
  end: number;
  generation: number;
  /** Deletions that the source of the snapshot knows; the log itself states none. */
  deletions?: readonly KeyedRecord[];
}

/** Outcome of reading a snapshot. */
export type SnapshotOutcome =
  | { outcome: 'picture'; snapshot: TopicSnapshot }
  /** The log was restored between two pages, so they don't form a consistent snapshot. */
  | { outcome: 'restored' }
  | { outcome: 'failed'; why: LogFailure };

/** Bounds the read if a faulty store always reports more pages. */
const MAX_PAGES = 1_000;

/** Reads a snapshot as of the end that the first page reports. */
export const readSnapshot = async (topic: KeyedTopic): Promise<SnapshotOutcome> => {
  const first = await topic.readLatest(undefined);
  if (first.outcome === 'failed') return first;
  const { end, generation } = first;
  const items = [...first.items];
  let page = first;
  for (let pages = 1; page.hasMore && page.items.length > 0 && pages < MAX_PAGES; pages += 1) {
    // Changes between two pages aren't missed: the log is read next from the first page's end.
    const next = await topic.readLatest(items.at(-1)?.key);
    if (next.outcome === 'failed') return next;
    if (next.generation !== generation) return { outcome: 'restored' };
    items.push(...next.items);
    page = next;
  }
  return { outcome: 'picture', snapshot: { items, end, generation } };
};
