/** An unbounded queue with one reader. */
export interface AsyncQueue<T> {
  push(item: T): void;
  /** Resolves with the oldest item, waiting for one if there is none. */
  next(): Promise<T>;
}

/** Creates an empty queue. */
export const createAsyncQueue = <T>(): AsyncQueue<T> => {
  const items: T[] = [];
  let resolveNext: ((item: T) => void) | undefined;

  return {
    push: (item) => {
      if (!resolveNext) {
        items.push(item);
        return;
      }
      const resolve = resolveNext;
      resolveNext = undefined;
      resolve(item);
    },
    next: () => {
      const item = items.shift();
      if (item !== undefined) return Promise.resolve(item);
      return new Promise((resolve) => {
        resolveNext = resolve;
      });
    },
  };
};
