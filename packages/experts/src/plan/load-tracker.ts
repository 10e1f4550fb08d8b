import type { ReportAnswer } from '../messages.js';
import type { GroupLayout } from '../types.js';

/** Share of tokens that may go to other experts before a plan has lost its use. */
const SPENT_DRIFT = 0.1;
const MIN_LIFE_MS = 60_000;
const MAX_LIFE_MS = 3_600_000;

/** Weight of a round's error in the tracking signal. */
const SIGNAL_WEIGHT = 0.3;
/** Tracking signal of errors that are nothing but noise, at that weight. */
const NOISE_SIGNAL = Math.sqrt(SIGNAL_WEIGHT / (2 - SIGNAL_WEIGHT));
/** Weight of a new round in the popularity, when it is noise and when it is drift. */
const LEAST_WEIGHT = 0.1;
const MOST_WEIGHT = 0.8;

/** Share of a group's engines whose reports must be fresh; the rest counts with its last rates. */
const FRESH_SHARE = 0.9;

/** Options of the tracker, in milliseconds. */
export interface LoadTrackerOptions {
  layout: GroupLayout;
  /** A node's report that is older does not count. */
  staleMs: number;
}

/** Popularity of the experts, smoothed over reports that may be late, missing or noisy. */
export interface LoadTracker {
  record(node: string, report: ReportAnswer, atMs: number): void;
  /** Takes in one round of reports; false when some node's is missing for too long. */
  endRound(nodes: readonly string[], atMs: number): boolean;
  /** Shares by layer and expert; undefined until two rounds came in. */
  popularity(): number[][] | undefined;
  /** How long the popularity is expected to stay much as it is. */
  lifeMs(): number;
  /** A new map is in use: a node's report from before it no longer stands in for a missing one. */
  restart(): void;
}

interface NodeLoad {
  atMs: number;
  tokens: Map<number, number>;
  /** Tokens a second by place, from the last two reports. */
  rates: Map<number, number> | undefined;
  /** From before the map in use. */
  isOutdated: boolean;
}

const ratesBetween = (
  old: NodeLoad,
  tokens: Map<number, number>,
  atMs: number,
): Map<number, number> | undefined => {
  const seconds = (atMs - old.atMs) / 1000;
  if (seconds <= 0) return old.rates;
  const rates = new Map(
    [...tokens].map(([at, count]) => [at, (count - (old.tokens.get(at) ?? 0)) / seconds]),
  );
  // Counts that shrink are those of an engine that started again.
  return [...rates.values()].some((rate) => rate < 0) ? undefined : rates;
};

const normalized = (counts: readonly number[]): number[] => {
  const sum = counts.reduce((total, count) => total + count, 0);
  return counts.map((count) => (sum > 0 ? count / sum : 1 / counts.length));
};

/** Half the sum of absolute differences: the share of tokens that go elsewhere, mean by layer. */
const driftBetween = (a: readonly number[][], b: readonly number[][]): number => {
  const byLayer = a.map(
    (layer, l) => layer.reduce((sum, x, e) => sum + Math.abs(x - (b[l]?.[e] ?? 0)), 0) / 2,
  );
  return byLayer.reduce((sum, x) => sum + x, 0) / Math.max(1, byLayer.length);
};

const mapShares = (
  a: readonly number[][],
  b: readonly number[][],
  fn: (x: number, y: number) => number,
): number[][] => a.map((layer, l) => layer.map((x, e) => fn(x, b[l]?.[e] ?? 0)));

const norm = (errors: readonly number[][]): number =>
  errors.reduce((sum, layer) => layer.reduce((total, x) => total + Math.abs(x), sum), 0);

/**
 * Weight of a new round by the tracking signal of Trigg and Leach (1967): errors that point the
 * same way round after round are drift, and are followed; errors that cancel out are noise.
 */
const createAdaptiveWeight = () => {
  let signed: number[][] | undefined;
  let absolute = 0;
  return (errors: number[][]): number => {
    const old = signed ?? errors;
    signed = mapShares(errors, old, (x, y) => SIGNAL_WEIGHT * x + (1 - SIGNAL_WEIGHT) * y);
    absolute = SIGNAL_WEIGHT * norm(errors) + (1 - SIGNAL_WEIGHT) * (absolute || norm(errors));
    const signal = absolute > 0 ? norm(signed) / absolute : 0;
    const drift = Math.max(0, (signal - NOISE_SIGNAL) / (1 - NOISE_SIGNAL));
    return LEAST_WEIGHT + (MOST_WEIGHT - LEAST_WEIGHT) * Math.min(1, drift);
  };
};

/** Creates a tracker that knows nothing yet. */
export const createLoadTracker = (options: LoadTrackerOptions): LoadTracker => {
  const { layout } = options;
  const loads = new Map<string, NodeLoad>();
  let smoothed: number[][] | undefined;
  let smoothedAt = 0;
  let driftPerMs = 0;
  const weightOf = createAdaptiveWeight();

  const sumRates = (nodes: readonly string[]): number[][] => {
    const sum = Array.from({ length: layout.layers }, () =>
      new Array<number>(layout.experts).fill(0),
    );
    const add = (rate: number, at: number): void => {
      const layer = sum[Math.floor(at / layout.experts)];
      const expert = at % layout.experts;
      if (layer) layer[expert] = (layer[expert] ?? 0) + rate;
    };
    nodes.forEach((node) => loads.get(node)?.rates?.forEach(add));
    return sum;
  };

  const smooth = (shares: number[][], atMs: number): void => {
    const old = smoothed;
    if (!old) {
      smoothed = shares;
      smoothedAt = atMs;
      return;
    }
    const weight = weightOf(mapShares(shares, old, (x, y) => x - y));
    const next = mapShares(shares, old, (x, y) => weight * x + (1 - weight) * y);
    const drift = driftBetween(old, next) / Math.max(1, atMs - smoothedAt);
    driftPerMs = (1 - SIGNAL_WEIGHT) * driftPerMs + SIGNAL_WEIGHT * drift;
    smoothed = next;
    smoothedAt = atMs;
  };

  return {
    record: (node, report, atMs) => {
      const old = loads.get(node);
      const tokens = new Map(report.at.map((at, i) => [at, report.tokens[i] ?? 0]));
      const rates = old ? ratesBetween(old, tokens, atMs) : undefined;
      loads.set(node, { atMs, tokens, rates, isOutdated: false });
    },
    endRound: (nodes, atMs) => {
      const isFresh = (node: string): boolean => {
        const load = loads.get(node);
        if (!load?.rates || load.isOutdated) return false;
        return atMs - load.atMs <= options.staleMs;
      };
      // Half the reports would make the experts of the silent ranks look unpopular; but in a group
      // of hundreds one report or other is always missing.
      if (!nodes.every((node) => loads.get(node)?.rates)) return false;
      if (nodes.filter(isFresh).length < FRESH_SHARE * nodes.length) return false;
      smooth(sumRates(nodes).map(normalized), atMs);
      return true;
    },
    popularity: () => smoothed,
    lifeMs: () => {
      const life = driftPerMs > 0 ? SPENT_DRIFT / driftPerMs : MAX_LIFE_MS;
      return Math.min(MAX_LIFE_MS, Math.max(MIN_LIFE_MS, life));
    },
    restart: () => loads.forEach((load) => Object.assign(load, { isOutdated: true })),
  };
};
