/** Returns the maximum number of `times` within any window of `windowMs` milliseconds. */
export const maxInWindow = (times: readonly number[], windowMs: number): number =>
  Math.max(
    0,
    ...times.map((from) => times.filter((at) => at >= from && at < from + windowMs).length),
  );
