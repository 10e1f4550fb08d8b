import type { GroupLayout, Weighs } from '../types.js';
import { createLoadTracker } from './load-tracker.js';
import type { LoadTracker } from './load-tracker.js';
import type { MapPlan, PlanLimits } from './plan-map.js';

/** What one word of the operator stands for; the figures are in docs/decisions/balancing.md. */
interface Price {
  /** Step time that an expert moved must save over the popularity's life, in seconds. */
  secondsPerMove: number;
  /** Smallest share of the step time that is worth a change. */
  minGain: number;
  /** Step time, over an even group's, that is left as it is. */
  tolerated: number;
  /** Step time at which a change that is made goes no further; the gap to `tolerated` is what
   * noise has to cross before experts move again. */
  evenEnough: number;
}

const PRICES: Record<Weighs, Price> = {
  skew: { secondsPerMove: 0.05, minGain: 0.01, tolerated: 1.02, evenEnough: 1.02 },
  'rebalancing-cost': { secondsPerMove: 1, minGain: 0.04, tolerated: 1.08, evenEnough: 1.03 },
};

/** Most experts that one change loads, for each rank of the group. */
const MOVES_PER_RANK = 4;

/** Limits of a plan under the operator's word and the popularity's expected life. */
export const limitsFor = (weighs: Weighs, lifeMs: number, rankCount: number): PlanLimits => {
  const price = PRICES[weighs];
  return {
    maxMoves: MOVES_PER_RANK * rankCount,
    evenEnough: price.evenEnough,
    gainPerMove: price.secondsPerMove / (lifeMs / 1000),
  };
};

/** Whether a plan is worth a change: below the threshold it would follow noise. */
export const isWorthwhile = (weighs: Weighs, plan: MapPlan): boolean => {
  const { tolerated, minGain } = PRICES[weighs];
  const gain = (plan.before - plan.after) / plan.before;
  return plan.moves.length > 0 && plan.before > tolerated && gain >= minGain;
};

/** A report counts for this many plan intervals. */
const STALE_INTERVALS = 2.5;

/** Creates the tracker of a group that is planned at this interval. */
export const createTrackerFor = (layout: GroupLayout, planMs: number): LoadTracker =>
  createLoadTracker({ layout, staleMs: STALE_INTERVALS * planMs });
