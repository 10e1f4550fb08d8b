import type { Clock } from '@plantaindrum/common';
import { MOST_IN_NOTE } from './news.js';
import type { News } from './news.js';

/** Kinds of entries in a note. */
export type NewsKind = 'crashes' | 'quarantined' | 'sound';

/** Collects what the other entries are to hear. */
export interface NewsTeller {
  add<Kind extends NewsKind>(kind: Kind, entry: News[Kind][number]): void;
  /** Sends a note although nothing was added: what is tried here has changed. */
  soon(): void;
  close(): void;
}

/** Options of `createNewsTeller`. */
export interface NewsTellerOptions {
  tell: (news: News) => void;
  /** Suspects that are being tried at this entry. */
  tried: () => readonly string[];
  clock: Clock;
}

/** News are collected this long, in ms: upstreams that lose power together make hundreds. */
const TELL_MS = 40;

/** A note that says nothing. */
export const noNews = (): News => ({ crashes: [], quarantined: [], sound: [], tried: [] });

/** Creates the teller; it sends nothing after `close`. */
export const createNewsTeller = ({ tell, tried, clock }: NewsTellerOptions): NewsTeller => {
  let news = noNews();
  let isPlanned = false;
  let isClosed = false;

  const soon = (): void => {
    if (isPlanned) return;
    isPlanned = true;
    clock.after(TELL_MS, () => {
      isPlanned = false;
      const told = { ...news, tried: tried().slice(0, MOST_IN_NOTE) };
      news = noNews();
      if (!isClosed) tell(told);
    });
  };

  return {
    add: (kind, entry) => {
      const list = news[kind] as (typeof entry)[];
      if (list.length < MOST_IN_NOTE) list.push(entry);
      soon();
    },
    soon,
    close: () => {
      isClosed = true;
    },
  };
};
