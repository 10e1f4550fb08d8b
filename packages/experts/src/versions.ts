/** Most map versions that one claim may hand out. */
const VERSIONS_PER_FENCE = 1_000_000;

/**
 * The `serial`-th map version of the coordinator with this fencing number. Later claims have larger
 * fences, so versions are unique and only grow without any coordinator knowing what others used.
 * Engines may start with small versions of their own, which stay below every claim's.
 */
export const versionOf = (fence: number, serial: number): number => {
  if (serial < 1 || serial >= VERSIONS_PER_FENCE) throw new RangeError(`map serial ${serial}`);
  return (fence + 1) * VERSIONS_PER_FENCE + serial;
};
