import type { GroupLayout, RebalancingPriority } from '../types.js';
import { createLoadTracker } from './load-tracker.js';
import type { LoadTracker } from './load-tracker.js';
import type { MapPlan, PlanLimits } from './plan-map.js';

/** Limits for one setting of the operator; the measurements are in docs/decisions/balancing.md. */
interface PriorityLimits {
  /** Step time that each moved expert must save while the popularity is valid, in seconds. */
  secondsSavedPerMove: number;
  /** Smallest gain of a change, as a fraction of the step time. */
  minGain: number;
  /** Imbalance up to which the map is not changed. */
  toleratedImbalance: number;
  /** Imbalance at which planning stops. Noise has to bridge the gap to `toleratedImbalance` before
   * experts move again. */
  targetImbalance: number;
}

const LIMITS_BY_PRIORITY: Record<RebalancingPriority, PriorityLimits> = {
  skew: {
    secondsSavedPerMove: 0.05,
    minGain: 0.01,
    toleratedImbalance: 1.02,
    targetImbalance: 1.02,
  },
  'rebalancing-cost': {
    secondsSavedPerMove: 1,
    minGain: 0.04,
    toleratedImbalance: 1.08,
    targetImbalance: 1.03,
  },
};

/** Largest number of experts that one change loads, per rank of the group. */
const MOVES_PER_RANK = 4;

/** Limits of a plan for the operator's setting and the expected validity of the popularity. */
export const limitsFor = (
  weighs: RebalancingPriority,
  validityMs: number,
  rankCount: number,
): PlanLimits => {
  const priorityLimits = LIMITS_BY_PRIORITY[weighs];
  return {
    maxMoves: MOVES_PER_RANK * rankCount,
    targetImbalance: priorityLimits.targetImbalance,
    minGainPerMove: priorityLimits.secondsSavedPerMove / (validityMs / 1000),
  };
};

/** Whether a plan is worth a change; smaller gains may be noise. */
export const isWorthwhile = (weighs: RebalancingPriority, plan: MapPlan): boolean => {
  const { toleratedImbalance, minGain } = LIMITS_BY_PRIORITY[weighs];
  const gain = (plan.before - plan.after) / plan.before;
  return plan.moves.length > 0 && plan.before > toleratedImbalance && gain >= minGain;
};

/** Age at which a report is stale, in plan intervals. */
const STALE_INTERVALS = 2.5;

/** Creates the load tracker of a group with this plan interval. */
export const createTrackerFor = (layout: GroupLayout, planMs: number): LoadTracker =>
  createLoadTracker({ layout, staleMs: STALE_INTERVALS * planMs });
