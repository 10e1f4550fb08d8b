import type { ReportAnswer } from '../messages.js';
import type { GroupLayout } from '../types.js';

/** Share of tokens that may go to other experts before a plan has lost its use. */
const SPENT_DRIFT = 0.1;
const MIN_LIFE_MS = 60_000;
const MAX_LIFE_MS = 3_600_000;

/** Options of the tracker, in milliseconds. */
export interface LoadTrackerOptions {
  layout: GroupLayout;
  /** Half-life of the smoothed popularity. */
  halfLifeMs: number;
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
  /** A new map is in use: rates by node from before it say nothing of the load after it. */
  restart(): void;
}

interface NodeLoad {
  atMs: number;
  tokens: Map<number, number>;
  /** Tokens a second by place, from the last two reports. */
  rates: Map<number, number> | undefined;
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

/** Creates a tracker that knows nothing yet. */
export const createLoadTracker = (options: LoadTrackerOptions): LoadTracker => {
  const { layout } = options;
  const loads = new Map<string, NodeLoad>();
  let smoothed: number[][] | undefined;
  let smoothedAt = 0;
  let driftPerMs = 0;

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
    const elapsed = atMs - smoothedAt;
    const keep = 0.5 ** (elapsed / options.halfLifeMs);
    const next = shares.map((layer, l) =>
      layer.map((share, e) => keep * (old[l]?.[e] ?? share) + (1 - keep) * share),
    );
    const drift = driftBetween(old, next) / Math.max(1, elapsed);
    driftPerMs = keep * driftPerMs + (1 - keep) * drift;
    smoothed = next;
    smoothedAt = atMs;
  };

  return {
    record: (node, report, atMs) => {
      const old = loads.get(node);
      const tokens = new Map(report.at.map((at, i) => [at, report.tokens[i] ?? 0]));
      const rates = old ? ratesBetween(old, tokens, atMs) : undefined;
      loads.set(node, { atMs, tokens, rates });
    },
    endRound: (nodes, atMs) => {
      const isFresh = (node: string): boolean => {
        const load = loads.get(node);
        return load?.rates !== undefined && atMs - load.atMs <= options.staleMs;
      };
      // Half the reports would make the experts of the silent ranks look unpopular.
      if (!nodes.every(isFresh)) return false;
      smooth(sumRates(nodes).map(normalized), atMs);
      return true;
    },
    popularity: () => smoothed,
    lifeMs: () => {
      const life = driftPerMs > 0 ? SPENT_DRIFT / driftPerMs : MAX_LIFE_MS;
      return Math.min(MAX_LIFE_MS, Math.max(MIN_LIFE_MS, life));
    },
    restart: () => loads.clear(),
  };
};
