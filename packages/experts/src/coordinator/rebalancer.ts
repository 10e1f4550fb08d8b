import type { HeartbeatAnswer, ReportAnswer } from '../messages.js';
import { createExpertMap } from '../expert-map.js';
import { createPlacementState } from '../plan/placement-state.js';
import type { GroupLoad } from '../plan/placement-state.js';
import { planMap } from '../plan/plan-map.js';
import type { MapPlan } from '../plan/plan-map.js';
import { createTrackerFor, isWorthwhile, limitsFor } from '../plan/policy.js';
import { createRankSpeeds } from '../plan/rank-speeds.js';
import { defaultTimings } from '../types.js';
import type { CoordinatorOptions, ExpertMapDocument, ExpertPlacement } from '../types.js';
import type { GroupCalls } from './group-calls.js';
import { isRefused } from './group-calls.js';

/** Decides whether to change a group's map, and to which one. */
export interface Rebalancer {
  /** Sets the map in use. */
  setMap(map: ExpertMapDocument): void;
  /** Records the step times of the ranks. */
  recordTimes(replies: ReadonlyMap<string, HeartbeatAnswer>): void;
  /** Collects reports and plans a map; undefined when the current one should stay. */
  propose(nodes: readonly string[], fence: number): Promise<ExpertPlacement[][] | undefined>;
  stragglers(): { rank: number; speed: number }[];
  imbalance(): number | undefined;
}

/** Lets other tasks of the process run between edits of a plan. */
const yieldToEventLoop = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** Creates the rebalancer of one coordinator. */
export const createRebalancer = (options: CoordinatorOptions, calls: GroupCalls): Rebalancer => {
  const { layout, clock, metrics, group } = options;
  const { planMs } = { ...defaultTimings, ...options.timings };
  const speeds = createRankSpeeds(layout.rankCount);
  const tracker = createTrackerFor(layout, planMs);
  let map: ExpertMapDocument | undefined;
  let imbalance: number | undefined;

  const groupLoad = (popularity: number[][]): GroupLoad => ({
    popularity,
    speeds: speeds.speeds(),
    fixedShare: speeds.fixedShare(),
  });

  const skipPlan = (reason: string): undefined => {
    metrics.count('expert_plans_skipped', { reason });
    return undefined;
  };

  const collectReports = async (nodes: readonly string[], fence: number): Promise<boolean> => {
    const answers = await calls.callAll<ReportAnswer>(nodes, 'experts.report', { fence });
    const now = clock.monotonic();
    for (const [node, answer] of answers) {
      if (answer && !isRefused(answer)) tracker.record(node, answer, now);
      else metrics.count('expert_reports_missing');
    }
    return tracker.endRound(nodes, now);
  };

  const plan = async (current: ExpertMapDocument, popularity: number[][]): Promise<MapPlan> => {
    const limits = limitsFor(options.weighs(), tracker.validityMs(), layout.rankCount);
    const startedAt = clock.monotonic();
    const newPlan = await planMap(
      current.layers,
      layout,
      groupLoad(popularity),
      limits,
      yieldToEventLoop,
    );
    metrics.record('expert_plan_ms', clock.monotonic() - startedAt);
    metrics.gauge('expert_imbalance', newPlan.before, { group });
    imbalance = newPlan.before;
    return newPlan;
  };

  const propose: Rebalancer['propose'] = async (nodes, fence) => {
    const isComplete = await collectReports(nodes, fence);
    if (!isComplete) return skipPlan('reports-missing');
    const popularity = tracker.popularity();
    if (!map || !popularity) return skipPlan('no-map');
    if (!options.mayMove()) return skipPlan('live-traffic');
    const newPlan = await plan(map, popularity);
    if (!isWorthwhile(options.weighs(), newPlan)) return skipPlan('gain-too-small');
    metrics.count('expert_moves_planned', { group }, newPlan.moves.length);
    return newPlan.layers;
  };

  const recordTimes: Rebalancer['recordTimes'] = (replies) => {
    const popularity = tracker.popularity();
    if (!map || !popularity) return;
    const even = { popularity, speeds: speeds.speeds().map(() => 1), fixedShare: 0 };
    const work = createPlacementState(map.layers, layout, even).times;
    const times = new Array<number | undefined>(layout.rankCount).fill(undefined);
    for (const { ranks } of replies.values()) {
      ranks.forEach(({ rank, stepTimeUs }) => {
        times[rank] = stepTimeUs;
      });
    }
    speeds.record([...work], times);
    metrics.gauge('expert_stragglers', speeds.stragglers().length, { group });
  };

  return {
    setMap: (next) => {
      if (next.version === map?.version || !createExpertMap(next, layout).ok) return;
      map = next;
      tracker.restart();
    },
    recordTimes,
    propose,
    stragglers: speeds.stragglers,
    imbalance: () => imbalance,
  };
};
