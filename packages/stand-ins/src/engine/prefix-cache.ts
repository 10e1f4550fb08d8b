import type { Clock, Random } from '@plantaindrum/common';
import { promptBlocks } from './text.js';

/** A cache event in the format that engines publish. */
export interface KvEvent {
  type: 'BlockStored' | 'BlockRemoved' | 'AllBlocksCleared';
  block_hashes: string[];
}

/** The prefix cache of one engine, with least-recently-used eviction. */
export interface PrefixCache {
  /**
   * Stores the blocks of a prompt; returns the number of leading blocks that were already cached.
   */
  use(prompt: string): number;
  /** Stores blocks exported by another engine. */
  importBlocks(blocks: string[]): void;
  has(hash: string): boolean;
  clear(): void;
  /** Returns the used fraction of the capacity, from 0 to 1. */
  usage(): number;
  stats(): { hitBlocks: number; missedBlocks: number };
  /** Delivers events with a delay; dropped events leave gaps in the sequence numbers. */
  subscribe(listener: (seq: number, event: KvEvent) => void): () => void;
  setDropShare(share: number): void;
}

/** Options of `createPrefixCache`. */
export interface PrefixCacheOptions {
  clock: Clock;
  random: Random;
  capacityBlocks: number;
  /** Delay of events. */
  eventLagMs: number;
  /** Fraction of events that are lost. */
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
    const eventSeq = seq;
    const event: KvEvent = { type, block_hashes: hashes };
    clock.after(eventLagMs, () => listeners.forEach((listener) => listener(eventSeq, event)));
  };

  const evict = (): void => {
    const evicted = [...blocks].slice(0, Math.max(0, blocks.size - capacityBlocks));
    evicted.forEach((hash) => blocks.delete(hash));
    publish('BlockRemoved', evicted);
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
      const promptHashes = promptBlocks(prompt);
      const firstMiss = promptHashes.findIndex((hash) => !blocks.has(hash));
      const hits = firstMiss < 0 ? promptHashes.length : firstMiss;
      hitBlocks += hits;
      missedBlocks += promptHashes.length - hits;
      store(promptHashes);
      return hits;
    },
    importBlocks: store,
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
