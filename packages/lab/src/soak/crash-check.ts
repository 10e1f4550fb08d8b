/** Checks that requests with a part on which servers crash are stopped, by the requests that servers received. */

import type { SoakCall } from './callers.js';
import type { Violation } from './checks.js';
import type { InjectedFault } from './faults.js';

/** What the servers observed (monotonic times in ms). */
export interface CrashTraffic {
  arrivals: readonly { id: string; at: number }[];
  crashes: readonly number[];
}

/** Crashes after which the part has to be known, and the requests with it that may still arrive. */
const FREE_CRASHES = 5;
const MAX_ARRIVALS = 3;
/** Time from that crash until the bound holds, and for which an entry must have been free of faults. */
const STABILITY_WINDOW_MS = 3_000;

/** Reports arrivals of harmful requests from entries that no fault has affected for a while. */
export const findCrashViolations = (
  { arrivals, crashes }: CrashTraffic,
  calls: readonly SoakCall[],
  faults: readonly InjectedFault[],
): Violation[] => {
  const harmful = new Map(
    calls.filter(({ isHarmful }) => isHarmful).map(({ id, entry }) => [id, entry]),
  );
  const fifthAt = [...crashes].sort((a, b) => a - b)[FREE_CRASHES - 1] ?? Infinity;
  const isAffected = (on: string | undefined, at: number): boolean =>
    faults.some(
      (fault) =>
        (fault.on === on || fault.on === 'store') &&
        fault.fromMs <= at &&
        fault.toMs >= at - STABILITY_WINDOW_MS,
    );
  const late = arrivals.filter(
    ({ id, at }) =>
      harmful.has(id) && at > fifthAt + STABILITY_WINDOW_MS && !isAffected(harmful.get(id), at),
  );
  if (late.length <= MAX_ARRIVALS) return [];
  const details = `${late.length} after ${crashes.length} crashes: ${JSON.stringify(late)}`;
  return [{ guarantee: 'a part of prompts that crashes servers is stopped', details }];
};
