import type { ReportAnswer } from '../messages.js';
import type { GroupLayout } from '../types.js';

/** Fraction of tokens that may shift to other experts before a plan is no longer valid. */
const MAX_DRIFT = 0.1;
const MIN_VALIDITY_MS = 60_000;
const MAX_VALIDITY_MS = 3_600_000;

/** Weight of the latest round's error in the tracking signal. */
const SIGNAL_WEIGHT = 0.3;
/** Expected tracking signal of pure noise at that weight. */
const NOISE_SIGNAL = Math.sqrt(SIGNAL_WEIGHT / (2 - SIGNAL_WEIGHT));
/** Weight of the latest round in the popularity: smallest for noise, largest for drift. */
const MIN_WEIGHT = 0.1;
const MAX_WEIGHT = 0.8;

/** Smallest fraction of engines with fresh reports; the others count with their last rates. */
const MIN_FRESH_SHARE = 0.9;

/** Options of a load tracker. */
export interface LoadTrackerOptions {
  layout: GroupLayout;
  /** Age at which a node's report is stale, in milliseconds. */
  staleMs: number;
}

/** Popularity of the experts, smoothed over reports that may be late, missing or noisy. */
export interface LoadTracker {
  /** Records a node's report, received at monotonic time `atMs`. */
  record(node: string, report: ReportAnswer, atMs: number): void;
  /** Updates the popularity after a round of reports; false when too many reports are missing. */
  endRound(nodes: readonly string[], atMs: number): boolean;
  /** Fraction of each layer's tokens by expert; undefined before the second round. */
  popularity(): number[][] | undefined;
  /** Time for which the popularity is expected to stay valid, in milliseconds. */
  validityMs(): number;
  /** To be called when a new map is in use: earlier reports no longer replace missing ones. */
  restart(): void;
}

interface NodeLoad {
  atMs: number;
  tokens: Map<number, number>;
  /** Tokens per second by expert index, from the last two reports. */
  rates: Map<number, number> | undefined;
  /** Whether the report is from before the map in use. */
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
    [...tokens].map(([index, count]) => [index, (count - (old.tokens.get(index) ?? 0)) / seconds]),
  );
  // Counts decrease when the engine was restarted.
  return [...rates.values()].some((rate) => rate < 0) ? undefined : rates;
};

const normalized = (counts: readonly number[]): number[] => {
  const sum = counts.reduce((total, count) => total + count, 0);
  return counts.map((count) => (sum > 0 ? count / sum : 1 / counts.length));
};

/**
 * Mean fraction of a layer's tokens that shifted to other experts: half the sum of absolute
 * differences.
 */
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
 * Creates the weight of the latest round, by the tracking signal of Trigg and Leach (1967). Errors
 * with the same sign in successive rounds are drift and get a large weight; errors that cancel out
 * are noise.
 */
const createAdaptiveWeight = () => {
  let signedErrors: number[][] | undefined;
  let absoluteError = 0;
  return (errors: number[][]): number => {
    const old = signedErrors ?? errors;
    signedErrors = mapShares(errors, old, (x, y) => SIGNAL_WEIGHT * x + (1 - SIGNAL_WEIGHT) * y);
    absoluteError =
      SIGNAL_WEIGHT * norm(errors) + (1 - SIGNAL_WEIGHT) * (absoluteError || norm(errors));
    const signal = absoluteError > 0 ? norm(signedErrors) / absoluteError : 0;
    const drift = Math.max(0, (signal - NOISE_SIGNAL) / (1 - NOISE_SIGNAL));
    return MIN_WEIGHT + (MAX_WEIGHT - MIN_WEIGHT) * Math.min(1, drift);
  };
};

/** Creates a tracker without reports. */
export const createLoadTracker = (options: LoadTrackerOptions): LoadTracker => {
  const { layout } = options;
  const loads = new Map<string, NodeLoad>();
  let smoothed: number[][] | undefined;
  let smoothedAt = 0;
  let driftPerMs = 0;
  const adaptWeight = createAdaptiveWeight();

  const sumOfRates = (nodes: readonly string[]): number[][] => {
    const sum = Array.from({ length: layout.layers }, () =>
      new Array<number>(layout.experts).fill(0),
    );
    const add = (rate: number, index: number): void => {
      const layer = sum[Math.floor(index / layout.experts)];
      const expert = index % layout.experts;
      if (layer) layer[expert] = (layer[expert] ?? 0) + rate;
    };
    nodes.forEach((node) => loads.get(node)?.rates?.forEach(add));
    return sum;
  };

  const updatePopularity = (shares: number[][], atMs: number): void => {
    const old = smoothed;
    if (!old) {
      smoothed = shares;
      smoothedAt = atMs;
      return;
    }
    const weight = adaptWeight(mapShares(shares, old, (x, y) => x - y));
    const next = mapShares(shares, old, (x, y) => weight * x + (1 - weight) * y);
    const drift = driftBetween(old, next) / Math.max(1, atMs - smoothedAt);
    driftPerMs = (1 - SIGNAL_WEIGHT) * driftPerMs + SIGNAL_WEIGHT * drift;
    smoothed = next;
    smoothedAt = atMs;
  };

  return {
    record: (node, report, atMs) => {
      const old = loads.get(node);
      const tokens = new Map(report.at.map((index, i) => [index, report.tokens[i] ?? 0]));
      const rates = old ? ratesBetween(old, tokens, atMs) : undefined;
      loads.set(node, { atMs, tokens, rates, isOutdated: false });
    },
    endRound: (nodes, atMs) => {
      const isFresh = (node: string): boolean => {
        const load = loads.get(node);
        if (!load?.rates || load.isOutdated) return false;
        return atMs - load.atMs <= options.staleMs;
      };
      // With many missing reports, the experts of those ranks would look unpopular. In a group of
      // hundreds, some report is always missing.
      if (!nodes.every((node) => loads.get(node)?.rates)) return false;
      if (nodes.filter(isFresh).length < MIN_FRESH_SHARE * nodes.length) return false;
      updatePopularity(sumOfRates(nodes).map(normalized), atMs);
      return true;
    },
    popularity: () => smoothed,
    validityMs: () => {
      const validityMs = driftPerMs > 0 ? MAX_DRIFT / driftPerMs : MAX_VALIDITY_MS;
      return Math.min(MAX_VALIDITY_MS, Math.max(MIN_VALIDITY_MS, validityMs));
    },
    restart: () => loads.forEach((load) => Object.assign(load, { isOutdated: true })),
  };
};
