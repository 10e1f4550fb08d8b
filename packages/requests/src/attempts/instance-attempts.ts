import type { AttemptState } from './types.js';

/** Attempts of one entry instance, by the instance's counter. */
export interface InstanceAttempts {
  state(counter: number): AttemptState | undefined;
  /** Whether the id is old enough that its record may have been dropped. */
  isForgotten(counter: number): boolean;
  open(counter: number, state: 'queued' | 'started'): void;
  close(counter: number, outcome: 'answered' | 'not-run' | 'unknown'): void;
  /** Whether no attempt is queued or started. */
  isIdle(): boolean;
  size(): number;
}

/** Creates an empty record that keeps at most `closedLimit` ended attempts and tombstones. */
export const createInstanceAttempts = (closedLimit: number): InstanceAttempts => {
  const open = new Map<number, 'queued' | 'started'>();
  /** Oldest first. */
  const closed = new Map<number, 'answered' | 'not-run' | 'unknown'>();
  let highestForgotten = -1;

  const forgetOldest = () => {
    const [oldest] = closed.keys();
    if (oldest === undefined) return;
    closed.delete(oldest);
    // A dropped attempt may have run. Ids up to this one are neither accepted again nor reported as
    // `not-run`.
    highestForgotten = Math.max(highestForgotten, oldest);
  };

  const state = (counter: number) => open.get(counter) ?? closed.get(counter);

  return {
    state,
    isForgotten: (counter) => counter <= highestForgotten && state(counter) === undefined,
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
