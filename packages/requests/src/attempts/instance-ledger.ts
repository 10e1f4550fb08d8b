import type { AttemptState } from './types.js';

/** The attempts of one entry instance, by the entry's counter. */
export interface InstanceLedger {
  state(counter: number): AttemptState | undefined;
  /** The id is so old that what became of it may have been forgotten. */
  isForgotten(counter: number): boolean;
  open(counter: number, state: 'queued' | 'started'): void;
  close(counter: number, outcome: 'answered' | 'not-run' | 'unknown'): void;
  isIdle(): boolean;
  size(): number;
}

/** Creates an empty ledger that keeps at most `closedLimit` ended attempts and tombstones. */
export const createInstanceLedger = (closedLimit: number): InstanceLedger => {
  const open = new Map<number, 'queued' | 'started'>();
  /** Oldest first. */
  const closed = new Map<number, 'answered' | 'not-run' | 'unknown'>();
  let floor = -1;

  const forgetOldest = () => {
    const [oldest] = closed.keys();
    if (oldest === undefined) return;
    closed.delete(oldest);
    // A forgotten id may have run. Below the floor the ledger proves nothing any more, so that a
    // forgotten attempt can neither run again nor be called "not run".
    floor = Math.max(floor, oldest);
  };

  const state = (counter: number) => open.get(counter) ?? closed.get(counter);

  return {
    state,
    isForgotten: (counter) => counter <= floor && state(counter) === undefined,
    open: (counter, as) => {
      open.set(counter, as);
    },
    close: (counter, outcome) => {
      open.delete(counter);
      closed.set(counter, outcome);
      if (closed.size > closedLimit) forgetOldest();
    },
    isIdle: () => open.size === 0,
    size: () => open.size + closed.size,
  };
};
