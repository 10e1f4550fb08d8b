import type { Clock } from '@plantaindrum/common';
import type { QueuedWork, RejectedWork, WorkQueue } from './types.js';

const SMOOTHING = 0.1;
const FIRST_GUESS_MS = 1_000;

/** Bounds of a queue. */
export interface FifoQueueOptions {
  /** Most items that wait. */
  capacity: number;
  /** Most items that run at once. */
  concurrency: number;
  clock: Clock;
}

/** Creates a queue that starts work in the order of its arrival. */
export const createFifoQueue = <T extends QueuedWork>(options: FifoQueueOptions): WorkQueue<T> => {
  const { capacity, concurrency, clock } = options;
  const waiting = new Map<string, T>();
  const startedAt = new Map<string, number>();
  let serviceMs: number | undefined;
  let leaving = false;

  const drainPerSecond = (): number => (serviceMs ? (concurrency * 1_000) / serviceMs : 0);

  const retryAfterMs = (): number => {
    const perItem = (serviceMs ?? FIRST_GUESS_MS) / concurrency;
    return Math.ceil((waiting.size + 1) * perItem);
  };

  const rejected = (item: T, reason: RejectedWork<T>['reason']): RejectedWork<T> => ({
    item,
    reason,
    retryAfterMs: retryAfterMs(),
  });

  const takeWhere = (matches: (item: T) => boolean): T[] => {
    const found = [...waiting.values()].filter(matches);
    found.forEach((item) => waiting.delete(item.id));
    return found;
  };

  return {
    offer: (item) => {
      if (leaving) return { admitted: false, rejected: [rejected(item, 'leaving')] };
      if (waiting.size >= capacity) {
        return { admitted: false, rejected: [rejected(item, 'queue-full')] };
      }
      waiting.set(item.id, item);
      return { admitted: true, rejected: [] };
    },
    take: () => {
      if (startedAt.size >= concurrency) return undefined;
      const [first] = waiting.values();
      if (!first) return undefined;
      waiting.delete(first.id);
      startedAt.set(first.id, clock.monotonic());
      return first;
    },
    cancel: (id) => {
      const item = waiting.get(id);
      waiting.delete(id);
      return item;
    },
    finished: (id) => {
      const started = startedAt.get(id);
      if (started === undefined) return;
      startedAt.delete(id);
      const tookMs = Math.max(1, clock.monotonic() - started);
      serviceMs = serviceMs === undefined ? tookMs : serviceMs + SMOOTHING * (tookMs - serviceMs);
    },
    sweep: () => {
      const now = clock.monotonic();
      const late = takeWhere((item) => item.deadline < now);
      return late.map((item) => rejected(item, 'deadline-passed'));
    },
    leave: () => {
      leaving = true;
      return takeWhere(() => true).map((item) => rejected(item, 'leaving'));
    },
    load: () => ({
      queued: waiting.size,
      running: startedAt.size,
      drainPerSecond: drainPerSecond(),
      leaving,
    }),
  };
};
