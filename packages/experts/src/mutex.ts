/** Runs a job after all earlier ones have ended. */
export type RunExclusive = <T>(job: () => Promise<T>) => Promise<T>;

/** Creates a mutex, which runs one job at a time, in the order of the calls. */
export const createMutex = (): RunExclusive => {
  let last: Promise<unknown> = Promise.resolve();
  return (job) => {
    const result = last.then(job);
    last = result.catch(() => {});
    return result;
  };
};
