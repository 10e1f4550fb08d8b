import type { Clock } from './clock.js';

/** An interruptible sleep of one task, for example between two polls. */
export interface Pause {
  /** Resolves after `ms` milliseconds of the clock, or when `end` is called. */
  wait(ms: number): Promise<void>;
  /** Ends the current wait early, if there is one. */
  end(): void;
}

/** Creates the pause of one task. */
export const createPause = (clock: Clock): Pause => {
  let end = (): void => {};
  return {
    wait: (ms) =>
      new Promise((resolve) => {
        const cancel = clock.after(ms, resolve);
        end = () => {
          cancel();
          resolve();
        };
      }),
    end: () => end(),
  };
};
