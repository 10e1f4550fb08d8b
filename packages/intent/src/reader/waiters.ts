import type { Clock } from '@plantaindrum/common';

/** Lets callers wait until an offset has been replayed. */
export interface OffsetWaiters {
  /** Resolves to true once `offset` is replayed, to false after `ms` milliseconds. */
  wait(offset: number, ms: number): Promise<boolean>;
  /** Resolves the waits for offsets up to this one. */
  advanceTo(offset: number): void;
  /** Resolves all pending waits to false. */
  close(): void;
}

interface Waiter {
  offset: number;
  settle: (reached: boolean) => void;
}

/** Creates waiters; no offset has been replayed yet. */
export const createOffsetWaiters = (clock: Clock): OffsetWaiters => {
  const waiters = new Set<Waiter>();
  let lastReached = -1;

  const wait: OffsetWaiters['wait'] = (offset, ms) =>
    new Promise((resolve) => {
      if (offset <= lastReached) {
        resolve(true);
        return;
      }
      const waiter: Waiter = { offset, settle: () => {} };
      const cancel = clock.after(ms, () => waiter.settle(false));
      waiter.settle = (reached) => {
        cancel();
        waiters.delete(waiter);
        resolve(reached);
      };
      waiters.add(waiter);
    });

  return {
    wait,
    advanceTo: (offset) => {
      lastReached = Math.max(lastReached, offset);
      [...waiters]
        .filter((waiter) => waiter.offset <= lastReached)
        .forEach(({ settle }) => settle(true));
    },
    close: () => [...waiters].forEach(({ settle }) => settle(false)),
  };
};
