/** The value below which `share` of the values lie; 0 for none. */
export const percentile = (values: number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
};

/** The middle value. */
export const median = (values: number[]): number => percentile(values, 0.5);

/** Rounds for a report. */
export const round = (value: number, digits = 2): number => Number(value.toFixed(digits));
