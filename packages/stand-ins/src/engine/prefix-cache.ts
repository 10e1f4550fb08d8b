import type { Clock, Random } from '@plantaindrum/common';
import { promptBlocks } from './text.js';

/** A cache event as engines publish it. */
export interface KvEvent {
  type: 'BlockStored' | 'BlockRemoved' | 'AllBlocksCleared';
  block_hashes: string[];
}

/** The prefix cache of one engine: least recently used blocks go first. */
export interface PrefixCache {
  /** Stores the prompt's blocks; the number of leading blocks that were there. */
  use(prompt: string): number;
  /** Stores blocks that another engine has exported. */
  load(blocks: string[]): void;
  has(hash: string): boolean;
  clear(): void;
  /** Share of the capacity in use, 0 to 1. */
  usage(): number;
  stats(): { hitBlocks: number; missedBlocks: number };
  /** Delivers events late; dropped ones leave a gap in the sequence numbers. */
  subscribe(listener: (seq: number, event: KvEvent) => void): () => void;
  setDropShare(share: number): void;
}

/** Options of a prefix cache. */
export interface PrefixCacheOptions {
  clock: Clock;
  random: Random;
  capacityBlocks: number;
  /** How late events are. */
  eventLagMs: number;
  /** Share of events that are lost. */
  eventDropShare: number;
}

/** Creates an empty prefix cache. */
export const createPrefixCache = (options: PrefixCacheOptions): PrefixCache => {
  const { clock, random, capacityBlocks, eventLagMs } = options;
  const blocks = new Set<string>();
  const listeners = new Set<(seq: number, event: KvEvent) => void>();
  let dropShare = options.eventDropShare;
  let seq = 0;
  let hitBlocks = 0;
  let missedBlocks = 0;

  const publish = (type: KvEvent['type'], hashes: string[]): void => {
    if (hashes.length === 0 && type !== 'AllBlocksCleared') return;
    seq += 1;
    if (random() < dropShare) return;
    const number = seq;
    const event: KvEvent = { type, block_hashes: hashes };
    clock.after(eventLagMs, () => listeners.forEach((listener) => listener(number, event)));
  };

  const evict = (): void => {
    const surplus = [...blocks].slice(0, Math.max(0, blocks.size - capacityBlocks));
    surplus.forEach((hash) => blocks.delete(hash));
    publish('BlockRemoved', surplus);
  };

  const store = (hashes: string[]): void => {
    const added = hashes.filter((hash) => !blocks.has(hash));
    hashes.forEach((hash) => {
      blocks.delete(hash);
      blocks.add(hash);
    });
    publish('BlockStored', added);
    evict();
  };

  return {
    use: (prompt) => {
      const wanted = promptBlocks(prompt);
      const missing = wanted.findIndex((hash) => !blocks.has(hash));
      const hits = missing < 0 ? wanted.length : missing;
      hitBlocks += hits;
      missedBlocks += wanted.length - hits;
      store(wanted);
      return hits;
    },
    load: store,
    has: (hash) => blocks.has(hash),
    clear: () => {
      blocks.clear();
      publish('AllBlocksCleared', []);
    },
    usage: () => blocks.size / capacityBlocks,
    stats: () => ({ hitBlocks, missedBlocks }),
    subscribe: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    setDropShare: (share) => {
      dropShare = share;
    },
  };
};
