/**
 * Early sign of an overload: the rate of arrivals by priority against the rate at which streams end.
 * Load pattern: a burst of the most urgent class while less urgent requests fill the room.
 */

import type { Clock } from '@plantaindrum/common';
import { createDecayedSums } from './decayed-sums.js';

/** Rates of arrivals at one entry. */
export interface ArrivalRates {
  record(priority: number): void;
  /** Requests of this priority per ms. */
  of(priority: number): number;
  /** Requests of higher urgency per ms. */
  above(priority: number): number;
}

/** Time constant, in ms: a second after a burst its effect has fallen to a twelfth. */
const TIME_CONSTANT_MS = 400;

/** Creates the rates of an entry without arrivals. */
export const createArrivalRates = (clock: Clock): ArrivalRates => {
  const sums = createDecayedSums(clock, TIME_CONSTANT_MS);
  const priorities = new Set<number>();
  return {
    record: (priority) => {
      priorities.add(priority);
      sums.add(String(priority), 1);
    },
    of: (priority) => sums.rateOf(String(priority)),
    above: (priority) => {
      let total = 0;
      priorities.forEach((other) => {
        if (other < priority) total += sums.rateOf(String(other));
      });
      return total;
    },
  };
};
