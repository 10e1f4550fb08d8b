/** Relative speed that the test assumes for a straggler; normal ranks have 1. */
const STRAGGLER_SPEED = 0.85;
/** Midpoint of both: a report below is evidence for a straggler, one above is evidence against. */
const THRESHOLD_SPEED = (1 + STRAGGLER_SPEED) / 2;
/**
 * Largest measured speed of a straggler. The fitted line of time over work may be off by a few per
 * cent permanently, which isn't noise and would accumulate as evidence for a straggler.
 */
const MAX_STRAGGLER_SPEED = 0.88;
/** Smallest measured speed of a report that the line is fitted to. */
const MIN_FITTED_SPEED = 0.7;
/** Log-likelihood ratio at which a verdict changes: about one wrong verdict in 100 000 reports. */
const EVIDENCE_THRESHOLD = 11.5;
/** Largest evidence from one report, so that a verdict takes at least three. */
const MAX_EVIDENCE_PER_REPORT = EVIDENCE_THRESHOLD / 2.5;
/** Number of reports over which a straggler's speed is averaged. */
const AVERAGED_REPORTS = 5;
/** Relative change above which a straggler's speed is updated. */
const MIN_SPEED_CHANGE = 0.1;
/** Smallest assumed noise, as a relative standard deviation. */
const MIN_NOISE = 0.03;
/** Slope assumed before the first reports, and its weight in the fit. */
const PRIOR_SLOPE = 0.6;
const PRIOR_WEIGHT = 0.02;
/** Largest weight of all earlier rounds together. */
const MAX_WEIGHT = 1;
/** Noise assumed before the first reports, as a relative standard deviation. */
const INITIAL_NOISE = 0.1;
/** Ratio of standard deviation to median absolute deviation (MAD) of a normal distribution. */
const DEVIATION_PER_MAD = 1.4826;
/** Weight of the earlier noise in its moving average. */
const NOISE_SMOOTHING = 0.8;

/** Relative speeds of ranks, estimated from the step times that they report. */
export interface RankSpeeds {
  /**
   * Records a round: each rank's predicted work, where 1 is an even share, and its measured time.
   */
  record(work: readonly number[], timesUs: readonly (number | undefined)[]): void;
  /** Speeds for planning: 1 for all ranks but stragglers. */
  speeds(): number[];
  /** Fraction of a normal rank's step time that doesn't depend on its tokens. */
  fixedShare(): number;
  stragglers(): { rank: number; speed: number }[];
}

interface RankVerdict {
  recent: number[];
  /** Evidence for a change of the verdict, at least 0 (cumulative sum test, Page 1954). */
  evidence: number;
  speed: number;
}

const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

/** Creates a linear fit of the time of normal ranks over their work, across many rounds. */
const createSlope = () => {
  let sxx = PRIOR_WEIGHT;
  let sxy = PRIOR_WEIGHT * PRIOR_SLOPE;
  return {
    /** Increase in time from no work to an even share, relative to the time of an even share. */
    value: (): number => Math.min(1, Math.max(0, sxy / sxx)),
    /**
     * Earlier rounds keep their weight: equally loaded ranks contain no information on the slope.
     */
    fit: (points: readonly (readonly [number, number])[]): void => {
      const meanX = points.reduce((sum, [x]) => sum + x, 0) / Math.max(1, points.length);
      const meanY = points.reduce((sum, [, y]) => sum + y, 0) / Math.max(1, points.length);
      const decay = Math.min(1, MAX_WEIGHT / sxx);
      sxx *= decay;
      sxy *= decay;
      points.forEach(([x, y]) => {
        sxx += (x - meanX) ** 2;
        sxy += (x - meanX) * (y - meanY);
      });
    },
  };
};

/** Creates the speeds of a group, initially all 1. */
export const createRankSpeeds = (rankCount: number): RankSpeeds => {
  const verdicts = Array.from({ length: rankCount }, (): RankVerdict => ({
    recent: [],
    evidence: 0,
    speed: 1,
  }));
  const slope = createSlope();
  let noise = INITIAL_NOISE;

  // The evidence of a report decreases with the noise. Noise thus delays a verdict instead of
  // causing a wrong one, which would move experts for nothing and be reversed.
  const updateVerdict = (verdict: RankVerdict, speed: number): RankVerdict => {
    const isStraggler = verdict.speed < 1;
    const recent = [...verdict.recent, speed].slice(-AVERAGED_REPORTS);
    const evidenceForSlow = ((1 - STRAGGLER_SPEED) * (THRESHOLD_SPEED - speed)) / noise ** 2;
    const addedEvidence = Math.min(
      MAX_EVIDENCE_PER_REPORT,
      isStraggler ? -evidenceForSlow : evidenceForSlow,
    );
    const evidence = Math.min(EVIDENCE_THRESHOLD, Math.max(0, verdict.evidence + addedEvidence));
    const mean = recent.reduce((sum, x) => sum + x, 0) / recent.length;
    const isClear = isStraggler || median(recent) <= MAX_STRAGGLER_SPEED;
    if (evidence >= EVIDENCE_THRESHOLD && isClear) {
      return { recent, evidence: 0, speed: isStraggler ? 1 : median(recent) };
    }
    const change = Math.abs(mean - verdict.speed) / verdict.speed;
    const hasChanged =
      change > Math.max(MIN_SPEED_CHANGE, (3 * noise) / Math.sqrt(AVERAGED_REPORTS));
    if (!isStraggler || !hasChanged) return { recent, evidence, speed: verdict.speed };
    return { recent, evidence, speed: Math.min(mean, THRESHOLD_SPEED) };
  };

  const record: RankSpeeds['record'] = (work, timesUs) => {
    const expectedTime = (rank: number): number => 1 + slope.value() * ((work[rank] ?? 1) - 1);
    const ratios = work.map((_, rank) => {
      const time = timesUs[rank];
      return time === undefined || time <= 0 ? undefined : time / expectedTime(rank);
    });
    const scale = median(ratios.filter((ratio) => ratio !== undefined));
    if (scale <= 0) return;
    const measured = ratios.map((ratio) => (ratio === undefined ? undefined : scale / ratio));
    const points = work.flatMap((x, rank): [number, number][] => {
      const isFitted = verdicts[rank]?.speed === 1 && (measured[rank] ?? 0) > MIN_FITTED_SPEED;
      return isFitted ? [[x, (timesUs[rank] ?? 0) / scale]] : [];
    });
    slope.fit(points);
    const deviations = measured.flatMap((x) => (x === undefined ? [] : [Math.abs(x - 1)]));
    noise = Math.max(
      MIN_NOISE,
      NOISE_SMOOTHING * noise + (1 - NOISE_SMOOTHING) * DEVIATION_PER_MAD * median(deviations),
    );
    measured.forEach((speed, rank) => {
      const verdict = verdicts[rank];
      if (speed !== undefined && verdict) verdicts[rank] = updateVerdict(verdict, speed);
    });
  };

  const speeds = (): number[] => verdicts.map(({ speed }) => speed);

  return {
    record,
    speeds,
    fixedShare: () => 1 - slope.value(),
    stragglers: () => speeds().flatMap((speed, rank) => (speed < 1 ? [{ rank, speed }] : [])),
  };
};
