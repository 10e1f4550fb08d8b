/** Time of a pass of a lock-step group, by the users' protocol. */

/** Work of one rank in a pass. */
export interface RankWork {
  /** Fixed time of the steps; 0 when the rank has no request. */
  stepsMs: number;
  /** Time for tokens, a fraction of which goes to experts. */
  tokensMs: number;
  /** Slowdown of the rank; 1 is normal. */
  pace: number;
}

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/**
 * Adds the slowest rank's own time and the expert time of the most loaded rank. The latter is the mean
 * expert time of a rank times `skew`, which includes slowdowns.
 */
export const computePassMs = (
  works: readonly RankWork[],
  expertShare: number,
  skew: number,
): number => {
  const ownTimes = works.map(({ stepsMs, tokensMs, pace }) => {
    const ownTokensMs = tokensMs * (1 - expertShare);
    return (stepsMs + ownTokensMs) * pace;
  });
  const meanExpertMs =
    (sum(works.map(({ tokensMs }) => tokensMs)) / Math.max(1, works.length)) * expertShare;
  return Math.max(...ownTimes) + meanExpertMs * skew;
};
