/** An asynchronous queue. */
export interface Mailbox<T> {
  put(item: T): void;
  take(): Promise<T>;
  waiting(): T[];
}

/** Creates an empty mailbox. */
export const createMailbox = <T>(): Mailbox<T> => {
  const items: T[] = [];
  const takers: ((item: T) => void)[] = [];
  return {
    put: (item) => {
      const taker = takers.shift();
      if (taker) taker(item);
      else items.push(item);
    },
    take: () => {
      const item = items.shift();
      if (item !== undefined) return Promise.resolve(item);
      return new Promise((resolve) => {
        takers.push(resolve);
      });
    },
    waiting: () => items,
  };
};
