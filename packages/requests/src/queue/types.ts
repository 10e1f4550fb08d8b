import type { AgentReason } from '@plantaindrum/link';
import type { Lane } from '../outcomes.js';

/** Work that waits at an agent. */
export interface QueueItem {
  /** Unique, for example the attempt's id. */
  id: string;
  organisation: string;
  class: string;
  lane: Lane;
  /** Expected cost, for example tokens; plain calls cost 1. At least 1. */
  cost: number;
  /** Monotonic time by which the first byte of its answer is due, in milliseconds. */
  deadline: number;
}

/** An item that leaves the queue without having run. */
export interface Rejected<T extends QueueItem> {
  item: T;
  reason: Extract<
    AgentReason,
    'queue-full' | 'deadline-unreachable' | 'deadline-passed' | 'leaving' | 'displaced'
  >;
  /** When the caller should come back, from the measured drain rate. */
  retryAfterMs: number;
}

/** Outcome of an offer: admitted or not, and whom it pushed out. All of `rejected` never ran. */
export interface Offer<T extends QueueItem> {
  admitted: boolean;
  /** The item itself when refused, or the less urgent work that it displaced. */
  rejected: Rejected<T>[];
}

/** The queue before one upstream. */
export interface AgentQueue<T extends QueueItem> {
  offer(item: T): Offer<T>;
  /** The next item to start; it counts as running until `finished`. */
  take(): T | undefined;
  /** Takes a waiting item out; undefined when it isn't waiting. */
  cancel(id: string): T | undefined;
  /** First byte of a taken item's answer; feeds the time that is kept back for it. */
  answering(id: string): void;
  /** A taken item has ended; feeds the measured drain rate. */
  finished(id: string): void;
  /** Gives up waiting items that can't meet their deadline any more; call it every 100 ms or so. */
  sweep(): Rejected<T>[];
  /** Stops admitting and gives back everything that waits. */
  leave(): Rejected<T>[];
  load(): QueueLoad;
}

/** State of a queue, for heartbeats and `status`. */
export interface QueueLoad {
  queued: number;
  running: number;
  queuedCost: number;
  /** Requests served a second, smoothed; 0 until anything has been measured. */
  drainPerSecond: number;
  /** Cost served a second, smoothed; 0 until anything has been measured. */
  drainCostPerSecond: number;
  leaving: boolean;
}
