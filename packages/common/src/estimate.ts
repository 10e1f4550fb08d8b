/** What a quantity usually is, and how far it usually lies from that. */
export interface Usual {
  mean: number;
  deviation: number;
}

/** Mean and deviation of what was observed, with more weight on what came last. */
export interface Estimate {
  note(value: number): void;
  /** Undefined before anything was observed. */
  usual(): Usual | undefined;
}

/** How an estimate follows what is observed. */
export interface EstimateWeights {
  /** Weight of the last observation in the mean, and of its distance in the deviation. */
  mean: number;
  deviation: number;
  /** Deviation that the first observation is given, as a share of it. */
  firstDeviation: number;
}

/** Creates an estimate that has observed nothing. */
export const createEstimate = (weights: EstimateWeights): Estimate => {
  let usual: Usual | undefined;
  return {
    note: (value) => {
      if (!usual) {
        usual = { mean: value, deviation: value * weights.firstDeviation };
        return;
      }
      const { mean, deviation } = usual;
      usual = {
        mean: mean + (value - mean) * weights.mean,
        deviation: deviation + (Math.abs(value - mean) - deviation) * weights.deviation,
      };
    },
    usual: () => usual,
  };
};
