import { movesBetween } from '../expert-map.js';
import type { ExpertMove } from '../expert-map.js';
import type { ExpertPlacement, GroupLayout } from '../types.js';
import type { GroupLoad } from './placement-state.js';
import { createPlacementState, evenTime, slowestTime } from './placement-state.js';
import { applyEdit, bestEdit } from './edits.js';
import type { Edit } from './edits.js';

/** Limits of a plan. */
export interface PlanLimits {
  /** Largest number of experts that one change loads. */
  maxMoves: number;
  /** Imbalance at which planning stops; 1 is even. */
  targetImbalance: number;
  /** Fraction of the step time that each loaded expert must save. */
  minGainPerMove: number;
}

/** Result of planning: a map with a shorter predicted step time, or the current one. */
export interface MapPlan {
  layers: ExpertPlacement[][];
  moves: ExpertMove[];
  /** Imbalance before and after: the step time relative to that of an evenly loaded group. */
  before: number;
  after: number;
}

/** Number of least loaded ranks that are considered as receivers. */
const MAX_RECEIVERS = 8;
/** Number of slowest ranks that are tried before the search ends. */
const MAX_TRIED_RANKS = 4;

const byTime = (times: Float64Array): number[] =>
  [...times.keys()].sort((a, b) => (times[b] ?? 0) - (times[a] ?? 0));

/** Number of edits from the start of the plan, with their loads and the resulting imbalance. */
interface PlanPrefix {
  edits: number;
  loads: number;
  imbalance: number;
}

/**
 * Improves a map edit by edit, relieving the slowest rank each time, and keeps the prefix of edits
 * whose gain exceeds the cost of its loads by the most. Starting from the current map keeps the
 * change small; a new packing is as even but moves nearly all experts
 * (docs/decisions/balancing.md). `pause` runs between edits, so that planning for a large group
 * doesn't block the event loop.
 */
export const planMap = async (
  current: ExpertPlacement[][],
  layout: GroupLayout,
  load: GroupLoad,
  limits: PlanLimits,
  pause: () => Promise<void>,
): Promise<MapPlan> => {
  const state = createPlacementState(current, layout, load);
  const evenStepTime = evenTime(load);
  const before = slowestTime(state) / evenStepTime;
  const netGain = (prefix: PlanPrefix): number =>
    (before - prefix.imbalance) / before - prefix.loads * limits.minGainPerMove;
  const edits: Edit[] = [];
  let best: PlanPrefix = { edits: 0, loads: 0, imbalance: before };

  const relieveSlowest = (): number | undefined => {
    const slowestFirst = byTime(state.times);
    const receivers = slowestFirst.slice(-MAX_RECEIVERS);
    for (const slowRank of slowestFirst.slice(0, MAX_TRIED_RANKS)) {
      const edit = bestEdit(
        state,
        layout,
        slowRank,
        receivers.filter((rank) => rank !== slowRank),
      );
      if (edit) {
        applyEdit(state, edit);
        edits.push(edit);
        return edit.load.length;
      }
    }
    return undefined;
  };

  let loads = 0;
  while (loads < limits.maxMoves && slowestTime(state) / evenStepTime > limits.targetImbalance) {
    const addedLoads = relieveSlowest();
    if (addedLoads === undefined) break;
    loads += addedLoads;
    await pause();
    const prefix: PlanPrefix = {
      edits: edits.length,
      loads,
      imbalance: slowestTime(state) / evenStepTime,
    };
    if (netGain(prefix) > netGain(best)) best = prefix;
  }

  const result = createPlacementState(current, layout, load);
  edits.slice(0, best.edits).forEach((edit) => applyEdit(result, edit));
  const layers = best.edits > 0 ? result.layers() : current;
  return { layers, moves: movesBetween(current, layers), before, after: best.imbalance };
};
