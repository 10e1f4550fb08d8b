/** A rank is called a straggler below this speed, and no longer above the second one. */
const SLOW_BELOW = 0.85;
const WELL_ABOVE = 0.93;
/** Rounds in a row that it takes to change the verdict; one late or noisy report changes nothing. */
const ROUNDS = 3;
/** A straggler's speed is taken anew when it has moved by more than this. */
const SPEED_STEP = 0.1;

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
  slowRounds: number;
  wellRounds: number;
  speed: number;
}

interface Line {
  fixed: number;
  slope: number;
}

const median = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
};

/** Least squares of time over work, with neither part negative. */
const fitLine = (points: readonly (readonly [number, number])[]): Line => {
  const n = Math.max(1, points.length);
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / n;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / n;
  const sxx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const sxy = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const steepest = meanX > 0 ? meanY / meanX : 0;
  const slope = sxx > 0 ? Math.min(steepest, Math.max(0, sxy / sxx)) : 0;
  return { fixed: meanY - slope * meanX, slope };
};

/** Creates the speeds of a group, all usual at first. */
export const createRankSpeeds = (rankCount: number): RankSpeeds => {
  const verdicts = Array.from({ length: rankCount }, (): RankVerdict => ({
    recent: [],
    slowRounds: 0,
    wellRounds: 0,
    speed: 1,
  }));
  let fixedShare = 0;

  const judge = (verdict: RankVerdict, speed: number): RankVerdict => {
    const recent = [...verdict.recent, speed].slice(-ROUNDS);
    const slowRounds = speed < SLOW_BELOW ? verdict.slowRounds + 1 : 0;
    const wellRounds = speed > WELL_ABOVE ? verdict.wellRounds + 1 : 0;
    const next = { recent, slowRounds, wellRounds, speed: verdict.speed };
    const usual = median(recent);
    const isStraggler = verdict.speed < 1;
    if (wellRounds >= ROUNDS) return { ...next, speed: 1 };
    if (!isStraggler && slowRounds < ROUNDS) return next;
    if (isStraggler && Math.abs(usual - verdict.speed) <= SPEED_STEP * verdict.speed) return next;
    return { ...next, speed: Math.min(usual, WELL_ABOVE) };
  };

  const record: RankSpeeds['record'] = (work, timesUs) => {
    const points = work.flatMap((x, rank): [number, number][] => {
      const time = timesUs[rank];
      return time === undefined || time <= 0 ? [] : [[x, time]];
    });
    if (points.length < 2) return;
    // The first line is drawn with stragglers, the second one without them.
    const rough = fitLine(points);
    const usual = points.filter(([x, y]) => y * SLOW_BELOW < rough.fixed + rough.slope * x);
    const line = usual.length >= 2 ? fitLine(usual) : rough;
    fixedShare = line.fixed / Math.max(1e-9, line.fixed + line.slope);
    work.forEach((x, rank) => {
      const time = timesUs[rank];
      const verdict = verdicts[rank];
      if (time === undefined || time <= 0 || !verdict) return;
      verdicts[rank] = judge(verdict, (line.fixed + line.slope * x) / time);
    });
  };

  const speeds = (): number[] => verdicts.map(({ speed }) => speed);

  return {
    record,
    speeds,
    fixedShare: () => fixedShare,
    stragglers: () => speeds().flatMap((speed, rank) => (speed < 1 ? [{ rank, speed }] : [])),
  };
};
