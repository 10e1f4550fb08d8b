import type { Decision, Vote } from './messages.js';
import type { RunExclusive } from './mutex.js';
import type { EnginePort, EngineState } from './types.js';

/** Votes and decisions of an engine; the engine keeps them when this process restarts. */
export interface EngineVotes {
  /** Vote on a version; an engine that is not armed for it refuses it for good. */
  vote(version: number): Promise<Vote>;
  /** Applies a decision; false when it has to be retried. */
  apply(version: number, decision: Decision): Promise<boolean>;
}

const isArmed = (state: EngineState, version: number): boolean =>
  state.ranks.every(({ armed }) => armed?.version === version);

const isInUse = (state: EngineState, version: number): boolean =>
  state.ranks.every((rank) => rank.version === version);

/**
 * Creates the votes of one engine; `fence` returns the smallest token that this agent accepts, if
 * known.
 */
export const createEngineVotes = (
  engine: EnginePort,
  ranks: readonly number[],
  runExclusive: RunExclusive,
  fence: () => number | undefined,
): EngineVotes => {
  // Votes and decisions are facts about the group and not orders of one coordinator, so they carry
  // any fencing token that the engine still accepts.
  const acceptedFence = (state: EngineState): number => Math.max(fence() ?? 0, state.fence);

  const voteNow = async (version: number): Promise<Vote> => {
    const state = await engine.state();
    if (!state) return { vote: 'unknown', ranks };
    if (isInUse(state, version)) return { vote: 'switched', ranks };
    if (isArmed(state, version)) return { vote: 'armed', ranks };
    // The refusal is a compare-and-set inside the engine. Kept in this process, it would be lost at
    // a restart; based on the state read above, it would race with an arm order in flight. Either
    // way one rank would see `refused` and another `armed`, and they would step with different
    // maps.
    const refusal = await engine.order('refuse_map', { fence: acceptedFence(state), version });
    return { vote: refusal.outcome === 'done' ? 'refused' : 'unknown', ranks };
  };

  const applyNow = async (version: number, decision: Decision): Promise<boolean> => {
    const state = await engine.state();
    if (!state) return false;
    const name = decision === 'switch' ? 'switch_map' : 'abort_map';
    const order = await engine.order(name, { fence: acceptedFence(state), version });
    if (order.outcome === 'lost') return false;
    return order.outcome === 'done' || order.reason !== 'old-fence';
  };

  return {
    vote: (version) => runExclusive(() => voteNow(version)),
    apply: (version, decision) => runExclusive(() => applyNow(version, decision)),
  };
};
