/** Most of the times that lie in one window of this length, wherever it begins. */
export const mostInWindow = (times: readonly number[], windowMs: number): number =>
  Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + windowMs).length),
  );
