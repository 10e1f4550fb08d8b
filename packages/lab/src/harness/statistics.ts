/** Value below which the `fraction` (0 to 1) of the values lie; 0 when there are no values. */
export const percentile = (values: number[], fraction: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * fraction))] ?? 0;
};

/** Median of the values. */
export const median = (values: number[]): number => percentile(values, 0.5);

/** Rounds to a number of decimals for a report. */
export const round = (value: number, digits = 2): number => Number(value.toFixed(digits));
