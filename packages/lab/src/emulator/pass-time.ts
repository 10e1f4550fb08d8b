/** How long a pass of a lock-step group takes, as the users' protocol says. */

/** What one rank does in a pass. */
export interface RankWork {
  /** Work of the steps themselves, in ms; none where the rank has no request. */
  stepsMs: number;
  /** Work for tokens, in ms, a share of which goes to experts. */
  tokensMs: number;
  /** Time of the rank's work over the usual. */
  pace: number;
}

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/**
 * The slowest rank's own part, and the part of experts at the most loaded rank: `skew` times an even
 * share of the work that goes to experts, paces counted in.
 */
export const passMs = (works: readonly RankWork[], expertShare: number, skew: number): number => {
  const own = works.map(({ stepsMs, tokensMs, pace }) => {
    const kept = tokensMs * (1 - expertShare);
    return (stepsMs + kept) * pace;
  });
  const even =
    (sum(works.map(({ tokensMs }) => tokensMs)) / Math.max(1, works.length)) * expertShare;
  return Math.max(...own) + even * skew;
};
