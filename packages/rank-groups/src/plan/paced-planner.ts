/** Plans map changes within the time that the agent can spare. */

import type { Clock } from '@plantaindrum/common';
import type { GroupShape, Placement, Weighs } from '../types.js';
import { planChange } from './plan.js';
import type { MapPlan } from './plan.js';

/** Plans changes of a group's map. */
export interface PacedPlanner {
  /** Plans one change; undefined when none is worth its price. */
  plan(
    current: Placement,
    shares: readonly (readonly number[])[],
    slowdowns: readonly number[],
  ): MapPlan | undefined;
  /** Whether the pause after a plan that found no change is over. */
  isDue(): boolean;
  /** Duration of the last plan, in ms. */
  lastMs(): number;
}

/**
 * Pause after a plan that found no change, as a multiple of the time that the plan took: planning
 * for 72 ranks and 1,728 experts takes 20 ms of a whole core and would otherwise run at every
 * check.
 */
const REPLAN_DELAY_FACTOR = 8;

/**
 * Maximum time of one plan, in ms. The agent answers no messages meanwhile, and the ranks keep the
 * uneven map; improvements that were not planned come with the next change.
 */
const MAX_PLANNING_MS = 100;

/** Creates the planner of a group. */
export const createPacedPlanner = (
  shape: GroupShape,
  weighs: Weighs,
  clock: Clock,
): PacedPlanner => {
  let nextPlanAt = -Infinity;
  let planningMs = 0;
  return {
    plan: (current, shares, slowdowns) => {
      const startedAt = clock.monotonic();
      const mayContinue = (): boolean => clock.monotonic() - startedAt < MAX_PLANNING_MS;
      const plan = planChange(current, shares, shape, weighs, slowdowns, mayContinue);
      const now = clock.monotonic();
      planningMs = Math.round(now - startedAt);
      if (!plan) nextPlanAt = now + planningMs * REPLAN_DELAY_FACTOR;
      return plan;
    },
    isDue: () => clock.monotonic() >= nextPlanAt,
    lastMs: () => planningMs,
  };
};
