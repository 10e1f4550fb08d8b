/** Number of map versions reserved for one claim. */
const VERSIONS_PER_FENCE = 1_000_000;

/**
 * Returns the `serial`-th map version of the coordinator with this fencing token. Later claims have
 * larger tokens, so versions are unique and increase without coordinators knowing those of others.
 * Engines may start with small versions of their own, which are below those of every claim.
 */
export const versionOf = (fence: number, serial: number): number => {
  if (serial < 1 || serial >= VERSIONS_PER_FENCE) throw new RangeError(`map serial ${serial}`);
  return (fence + 1) * VERSIONS_PER_FENCE + serial;
};
