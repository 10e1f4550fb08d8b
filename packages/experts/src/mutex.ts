/** Runs jobs one after the other. */
export type Exclusive = <T>(job: () => Promise<T>) => Promise<T>;

/** Creates a queue of one: a job starts when the one before it has ended. */
export const createExclusive = (): Exclusive => {
  let tail: Promise<unknown> = Promise.resolve();
  return (job) => {
    const turn = tail.then(job);
    tail = turn.catch(() => {});
    return turn;
  };
};
