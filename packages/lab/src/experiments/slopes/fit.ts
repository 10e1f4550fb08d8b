/** One measurement: what was measured at size `n`. */
export interface Point {
  n: number;
  y: number;
}

/** A measured line: `y = intercept + slope * n`. */
export interface Line {
  /** What `n` counts, for example `peers`. */
  per: string;
  unit: string;
  points: Point[];
  slope: number;
  intercept: number;
  /** Share of the variance that the line explains, 0 to 1. */
  r2: number;
}

const SIGNIFICANT_DIGITS = 4;

const rounded = (value: number): number => Number(value.toPrecision(SIGNIFICANT_DIGITS));

const mean = (values: number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

/** Least squares over the points. */
export const fitLine = (per: string, unit: string, points: Point[]): Line => {
  const meanN = mean(points.map(({ n }) => n));
  const meanY = mean(points.map(({ y }) => y));
  const covariance = mean(points.map(({ n, y }) => (n - meanN) * (y - meanY)));
  const varianceN = mean(points.map(({ n }) => (n - meanN) ** 2));
  const varianceY = mean(points.map(({ y }) => (y - meanY) ** 2));
  const slope = varianceN === 0 ? 0 : covariance / varianceN;
  const r2 = varianceN === 0 || varianceY === 0 ? 1 : covariance ** 2 / (varianceN * varianceY);
  return {
    per,
    unit,
    points: points.map(({ n, y }) => ({ n, y: rounded(y) })),
    slope: rounded(slope),
    intercept: rounded(meanY - slope * meanN),
    r2: rounded(r2),
  };
};
