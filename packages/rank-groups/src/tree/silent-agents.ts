/**
 * Agents whose links are up but that don't answer.
 *
 * The VM of an agent may be suspended while the engine beside it goes on. Its link is closed only after several missed
 * heartbeats, up to 3.6 s; until then no map could be changed, and all streams of the group were late after a shift.
 */

import type { Clock } from '@plantaindrum/common';

/** Tracks which linked agents answer. */
export interface SilentAgents {
  /** Records the ranks that answered a call, and those that should have and did not. */
  record(answered: Iterable<number>, unanswered: Iterable<number>): void;
  /** Whether the agent has not answered since a call that it left unanswered. */
  isSilent(rank: number): boolean;
  /** Whether the agent is called along the tree: it isn't silent, or is due to be tried again. */
  isResponsive(rank: number): boolean;
}

/** Time after which a silent agent is called again, in ms; if it is lost, its links are closed by then. */
const RETRY_AFTER_MS = 1_000;

/** Creates the tracker; no agent is silent at first. */
export const createSilentAgents = (clock: Clock): SilentAgents => {
  const retryAt = new Map<number, number>();
  return {
    record: (answered, unanswered) => {
      for (const rank of answered) retryAt.delete(rank);
      const at = clock.monotonic() + RETRY_AFTER_MS;
      for (const rank of unanswered) retryAt.set(rank, at);
    },
    isSilent: (rank) => retryAt.has(rank),
    isResponsive: (rank) => (retryAt.get(rank) ?? -Infinity) < clock.monotonic(),
  };
};
