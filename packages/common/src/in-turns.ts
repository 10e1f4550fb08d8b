/** Runs work on all items, at most this many at once; rejects with the first that does. */
export const inTurns = async <T>(
  items: readonly T[],
  atOnce: number,
  work: (item: T) => Promise<void>,
): Promise<void> => {
  const rest = [...items];
  const next = async (): Promise<void> => {
    for (let item = rest.shift(); item !== undefined; item = rest.shift()) await work(item);
  };
  await Promise.all(Array.from({ length: atOnce }, next));
};
