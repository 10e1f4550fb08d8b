/** Runs `run` for each item, at most `concurrency` at a time; rejects with the first rejection. */
export const forEachConcurrent = async <T>(
  items: readonly T[],
  concurrency: number,
  run: (item: T) => Promise<void>,
): Promise<void> => {
  const queue = [...items];
  const runWorker = async (): Promise<void> => {
    for (let item = queue.shift(); item !== undefined; item = queue.shift()) await run(item);
  };
  await Promise.all(Array.from({ length: concurrency }, runWorker));
};
