/** A condition variable: `notify` wakes all tasks that are currently waiting. */
export interface Signal {
  notify(): void;
  wait(): Promise<void>;
  /** Calls `listener` on each `notify` until the returned function is called. */
  listen(listener: () => void): () => void;
}

/** Creates a signal without listeners. */
export const createSignal = (): Signal => {
  const listeners = new Set<() => void>();
  const listen = (listener: () => void): (() => void) => {
    listeners.add(listener);
    return () => listeners.delete(listener);
  };
  return {
    notify: () => [...listeners].forEach((listener) => listener()),
    wait: () =>
      new Promise((resolve) => {
        const stop = listen(() => {
          stop();
          resolve();
        });
      }),
    listen,
  };
};
