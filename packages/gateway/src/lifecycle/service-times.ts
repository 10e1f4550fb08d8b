/** Observed service times of requests, by route. */

import type { Clock } from '@plantaindrum/common';

/** Longest service times that have been observed. */
export interface ServiceTimes {
  /** Records a request that has been answered completely; `ms` is the time from its arrival. */
  record(route: string, ms: number): void;
  /** Longest recent service time of a route, in ms; undefined until enough requests have been answered. */
  longest(route: string): number | undefined;
}

/** Time for which a service time counts, at least, in ms; at most it counts twice as long. */
const WINDOW_MS = 30_000;
/** Number of answers of a route before its service times mean anything. */
const MIN_ANSWERS = 20;

interface RouteTimes {
  windowStartedAt: number;
  longestMs: number;
  answers: number;
  previousLongestMs: number;
  previousAnswers: number;
}

/** Creates the service times of one entry; none has been observed yet. */
export const createServiceTimes = (clock: Clock): ServiceTimes => {
  const routes = new Map<string, RouteTimes>();

  const currentTimes = (route: string): RouteTimes => {
    const now = clock.monotonic();
    const known = routes.get(route);
    const ageMs = known ? now - known.windowStartedAt : Infinity;
    if (known && ageMs < WINDOW_MS) return known;
    const isRecent = known !== undefined && ageMs < 2 * WINDOW_MS;
    const times = {
      windowStartedAt: now,
      longestMs: 0,
      answers: 0,
      previousLongestMs: isRecent ? known.longestMs : 0,
      previousAnswers: isRecent ? known.answers : 0,
    };
    routes.set(route, times);
    return times;
  };

  return {
    record: (route, ms) => {
      const times = currentTimes(route);
      times.longestMs = Math.max(times.longestMs, ms);
      times.answers += 1;
    },
    longest: (route) => {
      const { longestMs, previousLongestMs, answers, previousAnswers } = currentTimes(route);
      return answers + previousAnswers < MIN_ANSWERS
        ? undefined
        : Math.max(longestMs, previousLongestMs);
    },
  };
};
