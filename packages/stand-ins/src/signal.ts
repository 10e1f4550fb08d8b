/** A condition that tasks wait on: `notify` releases everyone who waits now. */
export interface Signal {
  notify(): void;
  wait(): Promise<void>;
}

/** Creates a signal. */
export const createSignal = (): Signal => {
  let waiting: (() => void)[] = [];
  return {
    notify: () => {
      const released = waiting;
      waiting = [];
      released.forEach((resolve) => resolve());
    },
    wait: () =>
      new Promise((resolve) => {
        waiting.push(resolve);
      }),
  };
};
