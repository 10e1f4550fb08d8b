/** Moving averages (EWMA) of a quantity and of its absolute deviation. */
export interface EstimateValue {
  mean: number;
  deviation: number;
}

/** Exponentially weighted moving average of a quantity and of its deviation. */
export interface Estimate {
  /** Adds an observation. */
  record(value: number): void;
  /** The current averages; undefined before the first observation. */
  current(): EstimateValue | undefined;
}

/** How quickly an estimate follows its observations. */
export interface EstimateWeights {
  /** Weight of a new observation in the mean. */
  mean: number;
  /** Weight of a new observation's distance from the mean in the deviation. */
  deviation: number;
  /** Deviation after the first observation, as a fraction of its value. */
  firstDeviation: number;
}

/** Creates an estimate without observations. */
export const createEstimate = (weights: EstimateWeights): Estimate => {
  let averages: EstimateValue | undefined;
  return {
    record: (value) => {
      if (!averages) {
        averages = { mean: value, deviation: value * weights.firstDeviation };
        return;
      }
      const { mean, deviation } = averages;
      averages = {
        mean: mean + (value - mean) * weights.mean,
        deviation: deviation + (Math.abs(value - mean) - deviation) * weights.deviation,
      };
    },
    current: () => averages,
  };
};
