import type { Clock } from '@plantaindrum/common';

/** Waits for an offset to be replayed. */
export interface OffsetWaiters {
  /** True once `offset` is reached, false when `ms` milliseconds passed first. */
  wait(offset: number, ms: number): Promise<boolean>;
  reached(offset: number): void;
  /** Ends every wait as not reached. */
  close(): void;
}

interface Waiter {
  offset: number;
  settle: (reached: boolean) => void;
}

/** Creates waiters that start before any offset is reached. */
export const createOffsetWaiters = (clock: Clock): OffsetWaiters => {
  const waiters = new Set<Waiter>();
  let last = -1;

  const wait: OffsetWaiters['wait'] = (offset, ms) =>
    new Promise((resolve) => {
      if (offset <= last) {
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
    reached: (offset) => {
      last = Math.max(last, offset);
      [...waiters].filter((waiter) => waiter.offset <= last).forEach(({ settle }) => settle(true));
    },
    close: () => [...waiters].forEach(({ settle }) => settle(false)),
  };
};
