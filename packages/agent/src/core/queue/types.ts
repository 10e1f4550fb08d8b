import type { AgentReason, Dispatch } from '@plantaindrum/link';

/** Work that waits for its turn at the upstream. */
export interface QueuedWork {
  id: string;
  organisation: string;
  class: string;
  lane: Dispatch['priority'];
  /** Expected cost; at least 1. */
  cost: number;
  /** Monotonic time by which it must have started, in milliseconds. */
  deadline: number;
}

/** Work that leaves the queue without having run. */
export interface RejectedWork<T extends QueuedWork> {
  item: T;
  reason: AgentReason;
  retryAfterMs: number;
}

/** The order in which an upstream's work is started. */
export interface WorkQueue<T extends QueuedWork> {
  /** `rejected` holds the item itself when refused, or what it displaced. */
  offer(item: T): { admitted: boolean; rejected: RejectedWork<T>[] };
  /** The next item to start; it counts as running until `finished`. */
  take(): T | undefined;
  /** Takes a waiting item out; undefined when it isn't waiting. */
  cancel(id: string): T | undefined;
  finished(id: string): void;
  /** Gives up waiting items that can't meet their deadline any more. */
  sweep(): RejectedWork<T>[];
  /** Stops admitting and gives back everything that waits. */
  leave(): RejectedWork<T>[];
  load(): { queued: number; running: number; drainPerSecond: number; leaving: boolean };
}
