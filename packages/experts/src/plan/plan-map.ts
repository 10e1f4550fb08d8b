import { movesBetween } from '../expert-map.js';
import type { ExpertMove } from '../expert-map.js';
import type { ExpertPlacement, GroupLayout } from '../types.js';
import type { LoadView } from './placement-state.js';
import { createPlacementState, evenTime, slowest } from './placement-state.js';
import { applyEdit, bestRelief } from './relief.js';
import type { Edit } from './relief.js';

/** How far a plan goes. */
export interface PlanLimits {
  /** Most experts loaded by one change. */
  maxMoves: number;
  /** Imbalance that is good enough; 1 is even. */
  evenEnough: number;
  /** What an expert loaded must save, as a share of the step time. */
  gainPerMove: number;
}

/** A map that is better than the current one, by the predicted times of the ranks. */
export interface MapPlan {
  layers: ExpertPlacement[][];
  moves: ExpertMove[];
  /** Step time over that of an evenly loaded group, before and after. */
  before: number;
  after: number;
}

/** Least loaded ranks that are looked at as receivers. */
const RECEIVERS = 8;
/** Slowest ranks that are tried before the search ends. */
const TRIED_RANKS = 4;

const byTime = (times: Float64Array): number[] =>
  [...times.keys()].sort((a, b) => (times[b] ?? 0) - (times[a] ?? 0));

/** A prefix of the edits found. */
interface Mark {
  edits: number;
  loads: number;
  imbalance: number;
}

/**
 * Improves a map edit by edit, always relieving the slowest rank, and keeps the prefix of edits
 * whose gain outweighs its loads most. Starting from the current map keeps the change small; a
 * packing from scratch is as even and moves nearly everything (docs/decisions/balancing.md).
 * `pause` runs between two edits, so that a large group's plan does not hold up the event loop.
 */
export const planMap = async (
  current: ExpertPlacement[][],
  layout: GroupLayout,
  load: LoadView,
  limits: PlanLimits,
  pause: () => Promise<void>,
): Promise<MapPlan> => {
  const state = createPlacementState(current, layout, load);
  const even = evenTime(load);
  const before = slowest(state) / even;
  const worth = (mark: Mark): number =>
    (before - mark.imbalance) / before - mark.loads * limits.gainPerMove;
  const edits: Edit[] = [];
  let best: Mark = { edits: 0, loads: 0, imbalance: before };

  const relieveOne = (): number | undefined => {
    const order = byTime(state.times);
    const coolest = order.slice(-RECEIVERS);
    for (const hot of order.slice(0, TRIED_RANKS)) {
      const edit = bestRelief(
        state,
        layout,
        hot,
        coolest.filter((rank) => rank !== hot),
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
  while (loads < limits.maxMoves && slowest(state) / even > limits.evenEnough) {
    const added = relieveOne();
    if (added === undefined) break;
    loads += added;
    await pause();
    const mark: Mark = { edits: edits.length, loads, imbalance: slowest(state) / even };
    if (worth(mark) > worth(best)) best = mark;
  }

  const result = createPlacementState(current, layout, load);
  edits.slice(0, best.edits).forEach((edit) => applyEdit(result, edit));
  const layers = best.edits > 0 ? result.layers() : current;
  return { layers, moves: movesBetween(current, layers), before, after: best.imbalance };
};
