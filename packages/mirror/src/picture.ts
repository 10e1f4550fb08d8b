/** Reads all newest values of a keyed topic, page by page. */

import type { KeyedItem } from './keyed-mirror.js';
import type { KeyedTopic, LogFailure } from './topic.js';

/** All newest values of a topic. */
export interface Picture {
  items: KeyedItem[];
  end: number;
  generation: number;
}

/** Outcome of reading a picture. */
export type PictureOutcome =
  | { outcome: 'picture'; picture: Picture }
  /** The log was restored between two pages: together they show neither copy. */
  | { outcome: 'restored' }
  | { outcome: 'failed'; why: LogFailure };

/** Pages that are read at the most: a bound on a store that never ends. */
const MAX_PAGES = 1_000;

/** Reads a picture as of the end that the first page tells. */
export const readPicture = async (topic: KeyedTopic): Promise<PictureOutcome> => {
  const first = await topic.newest(undefined);
  if (first.outcome === 'failed') return first;
  const { end, generation } = first;
  const items = [...first.items];
  let page = first;
  for (let pages = 1; page.hasMore && page.items.length > 0 && pages < MAX_PAGES; pages += 1) {
    // What changes between two pages is read again from the first one's end.
    const next = await topic.newest(items.at(-1)?.key);
    if (next.outcome === 'failed') return next;
    if (next.generation !== generation) return { outcome: 'restored' };
    items.push(...next.items);
    page = next;
  }
  return { outcome: 'picture', picture: { items, end, generation } };
};
