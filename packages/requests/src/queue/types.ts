import type { FairItem } from '@plantaindrum/admission';
import type { AgentReason } from '@plantaindrum/link';
import type { Lane } from '../outcomes.js';

/** A unit of work in an agent's queue. */
export interface QueueItem extends FairItem {
  class: string;
  lane: Lane;
}

/** An item that was rejected without having run. */
export interface Rejected<T extends QueueItem> {
  item: T;
  reason: Extract<
    AgentReason,
    'queue-full' | 'deadline-unreachable' | 'deadline-passed' | 'leaving' | 'displaced'
  >;
  /** Advised delay before a retry, from the measured drain rate, in milliseconds. */
  retryAfterMs: number;
}

/** Result of offering an item to the queue. No item in `rejected` has run. */
export interface Offer<T extends QueueItem> {
  admitted: boolean;
  /** The item itself if it was rejected, or the less urgent item that it displaced. */
  rejected: Rejected<T>[];
}

/** Admission queue in front of one upstream. */
export interface AgentQueue<T extends QueueItem> {
  /** Admits or rejects an item. */
  offer(item: T): Offer<T>;
  /** Takes the next item to start; it counts as running until `finished`. */
  take(): T | undefined;
  /** Removes a waiting item; undefined when it isn't waiting. */
  cancel(id: string): T | undefined;
  /** Records the first byte of a running item, to estimate the time to first byte. */
  recordFirstByte(id: string): void;
  /** Records the end of a running item, to measure the drain rate. */
  recordEnd(id: string): void;
  /**
   * Rejects waiting items that can no longer meet their deadline; to be called about every 100 ms.
   */
  sweep(): Rejected<T>[];
  /** Stops admission and rejects everything that waits. */
  shutDown(): Rejected<T>[];
  /** Current load. */
  load(): QueueLoad;
}

/** Load of a queue, for heartbeats and `status`. */
export interface QueueLoad {
  queued: number;
  running: number;
  queuedCost: number;
  /** Smoothed drain rate in requests per second; 0 until measured. */
  drainPerSecond: number;
  /** Smoothed drain rate in cost per second; 0 until measured. */
  drainCostPerSecond: number;
  leaving: boolean;
}
