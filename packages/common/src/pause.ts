import type { Clock } from './clock.js';

/** The pause of one task between two rounds; another task may end it early. */
export interface Pause {
  /** Resolves after `ms` milliseconds of the clock, or when `end` is called. */
  wait(ms: number): Promise<void>;
  /** Ends the wait that is under way, if there is one. */
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
