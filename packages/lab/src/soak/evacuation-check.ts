/** Checks that nothing new reaches an evacuated data centre, by the requests that its servers received. */

import type { SoakCall } from './callers.js';
import type { Violation } from './checks.js';
import type { InjectedFault } from './faults.js';

/** The servers of a data centre, and its evacuation (monotonic times in ms). */
export interface EvacuatedServers {
  arrivals: readonly { id: string; at: number }[];
  fromMs: number;
  toMs: number;
}

/** Time from the request within which it is known everywhere, and for which an entry must have been free of faults. */
const BOUND_MS = 2_500;

/** Reports requests that an entry which no fault has affected for a while sent there. */
export const findEvacuationViolations = (
  { arrivals, fromMs, toMs }: EvacuatedServers,
  calls: readonly SoakCall[],
  faults: readonly InjectedFault[],
): Violation[] => {
  const entries = new Map(calls.map(({ id, entry }) => [id, entry]));
  // While the store doesn't answer, nobody can know of a new request; later nobody forgets it.
  const storeFaults = faults.filter(
    ({ on, fromMs: from, toMs: to }) => on === 'store' && from <= fromMs + BOUND_MS && to >= fromMs,
  );
  const knownAt = Math.max(fromMs, ...storeFaults.map((fault) => fault.toMs)) + BOUND_MS;
  const isAffected = (on: string | undefined, at: number): boolean =>
    faults.some((fault) => fault.on === on && fault.fromMs <= at && fault.toMs >= at - BOUND_MS);
  const late = arrivals
    .filter(({ at }) => at > knownAt && at < toMs)
    .filter(({ id, at }) => !isAffected(entries.get(id), at));
  if (late.length === 0) return [];
  const details = `${late.length} from ${fromMs} to ${toMs} ms: ${JSON.stringify(late)}`;
  return [{ guarantee: 'an evacuated data centre gets nothing new', details }];
};
