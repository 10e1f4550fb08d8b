/** A queue with one reader. */
export interface Inbox<T> {
  push(item: T): void;
  /** Resolves with the oldest item, waiting for one if there is none. */
  next(): Promise<T>;
}

/** Creates an empty inbox. */
export const createInbox = <T>(): Inbox<T> => {
  const items: T[] = [];
  let waiting: ((item: T) => void) | undefined;

  return {
    push: (item) => {
      if (!waiting) {
        items.push(item);
        return;
      }
      const resume = waiting;
      waiting = undefined;
      resume(item);
    },
    next: () => {
      const item = items.shift();
      if (item !== undefined) return Promise.resolve(item);
      return new Promise((resolve) => {
        waiting = resolve;
      });
    },
  };
};
