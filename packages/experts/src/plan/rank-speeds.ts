/** A straggler's speed, at least; usual ranks have 1. */
const SLOW = 0.85;
/** Halfway between both: a report below speaks for a straggler, one above against. */
const MIDDLE = (1 + SLOW) / 2;
/**
 * Largest speed that is called slow. Noise is not all that sets a rank apart: the line of time over
 * work may be off by some per cent for good, and would pass every test of noise in the end.
 */
const CALLED_SLOW = 0.88;
/** Smallest speed in a report from which the line is learnt. */
const LEARNT_FROM = 0.7;
/** Log-likelihood ratio at which a verdict changes: one wrong verdict in some 100 000 reports. */
const EVIDENCE = 11.5;
/** Most that one report adds, so that a verdict takes three however clear they are. */
const MOST_BY_ONE = EVIDENCE / 2.5;
/** Reports that a straggler's speed is averaged over. */
const AVERAGED = 5;
/** A straggler's speed is taken anew when it has moved by more than this share. */
const SPEED_STEP = 0.1;
/** Smallest noise that is assumed, as a deviation relative to the value. */
const LEAST_NOISE = 0.03;
/** Slope that is assumed before the first reports, and how much it counts. */
const PRIOR_SLOPE = 0.6;
const PRIOR_WEIGHT = 0.02;
/** Most that all earlier rounds together count. */
const MOST_WEIGHT = 1;
/** Noise that is assumed before the first reports. */
const FIRST_NOISE = 0.1;
/** Standard deviation over median absolute deviation, of normal noise. */
const DEVIATION_OF_MEDIAN = 1.4826;
/** Weight of the noise that was known before, against this round's. */
const NOISE_KEPT = 0.8;

/** Speeds of ranks, told from the times that they report. */
export interface RankSpeeds {
  /** One round: each rank's predicted share of work (1 is even) and its measured time. */
  record(work: readonly number[], timesUs: readonly (number | undefined)[]): void;
  /** Speeds to plan with: 1 for all but stragglers. */
  speeds(): number[];
  /** Share of a usual rank's time that does not depend on its tokens. */
  fixedShare(): number;
  stragglers(): { rank: number; speed: number }[];
}

interface RankVerdict {
  recent: number[];
  /** Evidence for a change of the verdict; never below 0 (cumulative sum test, Page 1954). */
  evidence: number;
  speed: number;
}

const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

/** How a usual rank's time follows its work, learnt over many rounds. */
const createSlope = () => {
  let sxx = PRIOR_WEIGHT;
  let sxy = PRIOR_WEIGHT * PRIOR_SLOPE;
  return {
    /** Time that grows by this much when work goes from none to an even share. */
    value: (): number => Math.min(1, Math.max(0, sxy / sxx)),
    /** A balanced group's ranks all have the same work and tell nothing, so old rounds count on. */
    learn: (points: readonly (readonly [number, number])[]): void => {
      const meanX = points.reduce((sum, [x]) => sum + x, 0) / Math.max(1, points.length);
      const meanY = points.reduce((sum, [, y]) => sum + y, 0) / Math.max(1, points.length);
      const kept = Math.min(1, MOST_WEIGHT / sxx);
      sxx *= kept;
      sxy *= kept;
      points.forEach(([x, y]) => {
        sxx += (x - meanX) ** 2;
        sxy += (x - meanX) * (y - meanY);
      });
    },
  };
};

/** Creates the speeds of a group, all usual at first. */
export const createRankSpeeds = (rankCount: number): RankSpeeds => {
  const verdicts = Array.from({ length: rankCount }, (): RankVerdict => ({
    recent: [],
    evidence: 0,
    speed: 1,
  }));
  const slope = createSlope();
  let noise = FIRST_NOISE;

  // The noisier the reports are, the less each of them counts, so noise delays a verdict instead
  // of causing one that moves experts for nothing and is taken back.
  const judge = (verdict: RankVerdict, speed: number): RankVerdict => {
    const isStraggler = verdict.speed < 1;
    const recent = [...verdict.recent, speed].slice(-AVERAGED);
    const towardsSlow = ((1 - SLOW) * (MIDDLE - speed)) / noise ** 2;
    const added = Math.min(MOST_BY_ONE, isStraggler ? -towardsSlow : towardsSlow);
    const evidence = Math.min(EVIDENCE, Math.max(0, verdict.evidence + added));
    const mean = recent.reduce((sum, x) => sum + x, 0) / recent.length;
    const isClear = isStraggler || median(recent) <= CALLED_SLOW;
    if (evidence >= EVIDENCE && isClear) {
      return { recent, evidence: 0, speed: isStraggler ? 1 : median(recent) };
    }
    const moved = Math.abs(mean - verdict.speed) / verdict.speed;
    const isMoved = moved > Math.max(SPEED_STEP, (3 * noise) / Math.sqrt(AVERAGED));
    if (!isStraggler || !isMoved) return { recent, evidence, speed: verdict.speed };
    return { recent, evidence, speed: Math.min(mean, MIDDLE) };
  };

  const record: RankSpeeds['record'] = (work, timesUs) => {
    const usualTime = (rank: number): number => 1 + slope.value() * ((work[rank] ?? 1) - 1);
    const ratios = work.map((_, rank) => {
      const time = timesUs[rank];
      return time === undefined || time <= 0 ? undefined : time / usualTime(rank);
    });
    const scale = median(ratios.filter((ratio) => ratio !== undefined));
    if (scale <= 0) return;
    const measured = ratios.map((ratio) => (ratio === undefined ? undefined : scale / ratio));
    const usual = work.flatMap((x, rank): [number, number][] => {
      const isUsual = verdicts[rank]?.speed === 1 && (measured[rank] ?? 0) > LEARNT_FROM;
      return isUsual ? [[x, (timesUs[rank] ?? 0) / scale]] : [];
    });
    slope.learn(usual);
    const deviations = measured.flatMap((x) => (x === undefined ? [] : [Math.abs(x - 1)]));
    noise = Math.max(
      LEAST_NOISE,
      NOISE_KEPT * noise + (1 - NOISE_KEPT) * DEVIATION_OF_MEDIAN * median(deviations),
    );
    measured.forEach((speed, rank) => {
      const verdict = verdicts[rank];
      if (speed !== undefined && verdict) verdicts[rank] = judge(verdict, speed);
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
