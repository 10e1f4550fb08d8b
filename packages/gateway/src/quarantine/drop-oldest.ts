/** Drops a map's oldest entry when it exceeds the size. */
export const dropOldest = (map: Map<string, unknown>, maxSize: number): void => {
  const [oldest] = map.keys();
  if (map.size > maxSize && oldest !== undefined) map.delete(oldest);
};
