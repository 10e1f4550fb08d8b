import {
  createPlacementState,
  createRankSpeeds,
  createTrackerFor,
  isWorthwhile,
  limitsFor,
  planMap,
} from '@plantaindrum/experts';
import type {
  ExpertPlacement,
  GroupLayout,
  ReportAnswer,
  RebalancingPriority,
} from '@plantaindrum/experts';

/** What the policies see at the end of an interval; lost reports are undefined. */
export interface IntervalReports {
  atMs: number;
  /** Tokens by engine since the start. */
  tokens: ReadonlyMap<string, ReportAnswer | undefined>;
  /** Time of each rank in one step. */
  timesUs: (number | undefined)[];
}

/** Decides on a new map; undefined keeps the one in use. */
export interface BalancePolicy {
  plan(
    current: ExpertPlacement[][],
    reports: IntervalReports,
  ): Promise<ExpertPlacement[][] | undefined>;
  /** A map of this policy's has come into use. */
  changed(): void;
}

/** The policies that are compared. */
export type PolicyName =
  'never' | 'greedy-repack' | 'no-hysteresis' | 'ours-skew' | 'ours-rebalancing-cost';

/** Every policy, in the order of the report. */
export const policyNames: readonly PolicyName[] = [
  'never',
  'greedy-repack',
  'no-hysteresis',
  'ours-skew',
  'ours-rebalancing-cost',
];

const noPause = (): Promise<void> => Promise.resolve();

const neverMove: BalancePolicy = { plan: async () => undefined, changed: () => {} };

/** Tokens of the last interval by layer and expert, from whatever reports came in. */
const createLastInterval = (layout: GroupLayout) => {
  const last = new Map<string, Map<number, number>>();
  return (reports: IntervalReports): number[][] => {
    const sum = Array.from({ length: layout.layers }, () =>
      new Array<number>(layout.experts).fill(0),
    );
    for (const [node, report] of reports.tokens) {
      const old = last.get(node) ?? new Map<number, number>();
      report?.at.forEach((at, i) => {
        const layer = sum[Math.floor(at / layout.experts)] ?? [];
        const tokens = Math.max(0, (report.tokens[i] ?? 0) - (old.get(at) ?? 0));
        layer[at % layout.experts] = (layer[at % layout.experts] ?? 0) + tokens;
      });
      if (report) last.set(node, new Map(report.at.map((at, i) => [at, report.tokens[i] ?? 0])));
    }
    return sum.map((layer) => {
      const total = layer.reduce((a, b) => a + b, 0);
      return layer.map((tokens) => (total > 0 ? tokens / total : 1 / layout.experts));
    });
  };
};

/** Replicas in proportion to popularity, then the heaviest first onto the least loaded rank. */
const packLayer = (shares: readonly number[], layout: GroupLayout, load: Float64Array) => {
  const { rankCount, slots } = layout;
  const replicas = shares.map(() => 1);
  for (let free = rankCount * slots - shares.length; free > 0; free -= 1) {
    const perReplica = shares.map((share, e) =>
      (replicas[e] ?? 1) < rankCount ? share / (replicas[e] ?? 1) : 0,
    );
    const heaviest = perReplica.indexOf(Math.max(...perReplica));
    replicas[heaviest] = (replicas[heaviest] ?? 1) + 1;
  }
  const used = new Array<number>(rankCount).fill(0);
  const order = [...shares.keys()].sort(
    (a, b) => (shares[b] ?? 0) / (replicas[b] ?? 1) - (shares[a] ?? 0) / (replicas[a] ?? 1),
  );
  const placements: ExpertPlacement[] = shares.map((_, expert) => ({ expert, ranks: [] }));
  for (const expert of order) {
    const weight = (shares[expert] ?? 0) / (replicas[expert] ?? 1);
    const free = [...used.keys()]
      .filter((rank) => (used[rank] ?? 0) < slots)
      .sort((a, b) => (load[a] ?? 0) - (load[b] ?? 0));
    const chosen = free.slice(0, replicas[expert] ?? 1);
    chosen.forEach((rank) => {
      used[rank] = (used[rank] ?? 0) + 1;
      // eslint-disable-next-line no-param-reassign
      load[rank] = (load[rank] ?? 0) + weight;
      placements[expert]?.ranks.push(rank);
    });
  }
  return placements;
};

const createGreedy = (layout: GroupLayout): BalancePolicy => {
  const lastInterval = createLastInterval(layout);
  return {
    plan: async (_current, reports) => {
      const load = new Float64Array(layout.rankCount);
      return lastInterval(reports).map((shares) => packLayer(shares, layout, load));
    },
    changed: () => {},
  };
};

const createOurs = (
  layout: GroupLayout,
  planMs: number,
  weighs: RebalancingPriority,
): BalancePolicy => {
  const tracker = createTrackerFor(layout, planMs);
  const speeds = createRankSpeeds(layout.rankCount);
  return {
    plan: async (current, reports) => {
      for (const [node, report] of reports.tokens) {
        if (report) tracker.record(node, report, reports.atMs);
      }
      const isComplete = tracker.endRound([...reports.tokens.keys()], reports.atMs);
      const popularity = tracker.popularity();
      if (!popularity) return undefined;
      const usual = { popularity, speeds: speeds.speeds().map(() => 1), fixedShare: 0 };
      const work = [...createPlacementState(current, layout, usual).times];
      speeds.record(work, reports.timesUs);
      if (!isComplete) return undefined;
      const view = { popularity, speeds: speeds.speeds(), fixedShare: speeds.fixedShare() };
      const limits = limitsFor(weighs, tracker.validityMs(), layout.rankCount);
      const plan = await planMap(current, layout, view, limits, noPause);
      return isWorthwhile(weighs, plan) ? plan.layers : undefined;
    },
    changed: tracker.restart,
  };
};

/** Our search without smoothing, expected life, price or threshold. */
const createNoHysteresis = (layout: GroupLayout): BalancePolicy => {
  const lastInterval = createLastInterval(layout);
  const speeds = new Array<number>(layout.rankCount).fill(1);
  return {
    plan: async (current, reports) => {
      const view = { popularity: lastInterval(reports), speeds, fixedShare: 0 };
      const limits = { maxMoves: 4 * layout.rankCount, targetImbalance: 1, minGainPerMove: 0 };
      const plan = await planMap(current, layout, view, limits, noPause);
      return plan.moves.length > 0 ? plan.layers : undefined;
    },
    changed: () => {},
  };
};

/** Creates a policy with nothing in memory. */
export const createPolicy = (
  name: PolicyName,
  layout: GroupLayout,
  planMs: number,
): BalancePolicy => {
  switch (name) {
    case 'greedy-repack':
      return createGreedy(layout);
    case 'no-hysteresis':
      return createNoHysteresis(layout);
    case 'ours-skew':
      return createOurs(layout, planMs, 'skew');
    case 'ours-rebalancing-cost':
      return createOurs(layout, planMs, 'rebalancing-cost');
    default:
      return neverMove;
  }
};
