/** Demand of each level, and how long a request waits behind it; see `levels.ts`. */

import type { PriorityDemand } from './allocation.js';
import type { ArrivalRates } from './arrival-rates.js';
import { REPORT_AGE_MS } from './assumed-sends.js';
import { minShareOf } from './levels.js';
import type { PriorityItem, PriorityQueue } from './priority-queue.js';
import type { ServiceRoom } from './shared-admission-types.js';

/** Demand of one level. */
export interface LevelDemand extends PriorityDemand {
  level: number;
}

/** Estimates from what waits here and elsewhere, what arrives, and what ends. */
export interface WaitEstimates {
  /** Demands by level, the first to be sent first. */
  demands(state: ServiceRoom): LevelDemand[];
  /** Waiting requests up to a level, at all entries. */
  backlogUpTo(level: number): number;
  /** Rate at which room becomes free for a level at all entries, per ms. */
  drainFor(state: ServiceRoom, level: number): number;
  /** Expected wait of a request that isn't in the queue yet, in ms. */
  waitMs(state: ServiceRoom, item: PriorityItem): number;
}

/** Options of `createWaitEstimates`. */
export interface WaitEstimatesOptions {
  queue: Pick<PriorityQueue<PriorityItem>, 'priorities' | 'waiting' | 'costAhead'>;
  rates: ArrivalRates;
  entries: () => number;
  waitingElsewhere: () => ReadonlyMap<number, number>;
  streamMs: () => number;
}

/**
 * Period for which more urgent requests that are expected are kept room, in ms. Room that is kept for longer stays
 * unused; what arrives within it can wait for the next stream to end.
 */
const RESERVE_MS = 100;
/** Smallest fraction of the drain that a level is assumed to get. */
const MIN_DRAIN_SHARE = 0.05;

/** Creates the estimates of one service at one entry. */
export const createWaitEstimates = (options: WaitEstimatesOptions): WaitEstimates => {
  const { queue, rates, entries, waitingElsewhere } = options;

  /** Streams that end per ms while the room is in use. */
  const drainOf = ({ inFlight, capacity }: ServiceRoom): number =>
    Math.max(inFlight, capacity) / options.streamMs();

  // Plain loops here and below: with copies of all counts, a decision with 1,000 waiting took some 35 us.
  const levelsInUse = (elsewhere: ReadonlyMap<number, number>): number[] => {
    const levels = queue.priorities();
    elsewhere.forEach((_, level) => {
      if (!levels.includes(level)) levels.push(level);
    });
    return levels.sort((a, b) => a - b);
  };

  const backlogUpTo = (level: number): number => {
    let total = 0;
    waitingElsewhere().forEach((count, each) => {
      if (each <= level) total += count;
    });
    queue.priorities().forEach((each) => {
      if (each <= level) total += queue.waiting(each);
    });
    return total;
  };

  const drainFor = (state: ServiceRoom, level: number): number => {
    const drain = drainOf(state);
    return Math.max(MIN_DRAIN_SHARE * drain, drain - rates.above(level) * entries());
  };

  return {
    demands: (state) => {
      const drain = drainOf(state);
      const others = entries() - 1;
      const reports = waitingElsewhere();
      const levels = levelsInUse(reports);
      return levels.map((level) => {
        const elsewhere = reports.get(level) ?? 0;
        const surplusPerMs = rates.above(level) * (others + 1) - drain;
        return {
          level,
          own: queue.waiting(level),
          elsewhere,
          unreported: Math.max(0, rates.of(level) * others * REPORT_AGE_MS - elsewhere),
          reserved: Math.max(0, surplusPerMs * RESERVE_MS),
          minShare: minShareOf(level, levels),
        };
      });
    },
    backlogUpTo,
    drainFor,
    waitMs: (state, item) => {
      const level = item.priority;
      const own = queue.waiting(level);
      const total = own + (waitingElsewhere().get(level) ?? 0);
      // The organisations' shares at the other entries are assumed to be as here.
      const ahead = own === 0 ? total : (total * queue.costAhead(item)) / own;
      const free = Math.max(0, state.capacity - state.inFlight);
      const behindAll = Math.max(0, backlogUpTo(level - 1) + ahead - free);
      // Behind a backlog of more urgent requests it waits for the share that each level keeps.
      const minDrain = MIN_DRAIN_SHARE * drainOf(state);
      return Math.min(
        behindAll / Math.max(Number.MIN_VALUE, drainFor(state, level)),
        ahead / Math.max(Number.MIN_VALUE, minDrain),
      );
    },
  };
};
