import type { Decision, Vote } from './messages.js';
import type { Exclusive } from './mutex.js';
import type { EnginePort, EngineState } from './types.js';

/** The engine's part in a change: votes and decisions, which outlive this process in the engine. */
export interface EngineVotes {
  /** How this engine stands to a version; one that is not armed refuses it for good first. */
  vote(version: number): Promise<Vote>;
  /** Carries out a decision; false when it has to be tried again. */
  apply(version: number, decision: Decision): Promise<boolean>;
}

const isArmed = (state: EngineState, version: number): boolean =>
  state.ranks.every(({ armed }) => armed?.version === version);

const isInUse = (state: EngineState, version: number): boolean =>
  state.ranks.every((rank) => rank.version === version);

/** Creates the votes of one engine; `fence` is the number that this agent obeys, if it knows one. */
export const createEngineVotes = (
  engine: EnginePort,
  ranks: readonly number[],
  exclusive: Exclusive,
  fence: () => number | undefined,
): EngineVotes => {
  // Votes and decisions are facts of the group and not orders of one coordinator, so they carry
  // whatever number the engine still accepts.
  const accepted = (state: EngineState): number => Math.max(fence() ?? 0, state.fence);

  const voteNow = async (version: number): Promise<Vote> => {
    const state = await engine.state();
    if (!state) return { vote: 'unknown', ranks };
    if (isInUse(state, version)) return { vote: 'switched', ranks };
    if (isArmed(state, version)) return { vote: 'armed', ranks };
    // The refusal is a compare-and-set inside the engine. Remembered here it would be lost with
    // this process; decided by the state read above it could cross an arm order on its way. Either
    // way one rank would hear "refused" and another "armed", and they would step on two maps.
    const refusal = await engine.order('refuse_map', { fence: accepted(state), version });
    return { vote: refusal.outcome === 'done' ? 'refused' : 'unknown', ranks };
  };

  const applyNow = async (version: number, decision: Decision): Promise<boolean> => {
    const state = await engine.state();
    if (!state) return false;
    const name = decision === 'switch' ? 'switch_map' : 'abort_map';
    const order = await engine.order(name, { fence: accepted(state), version });
    if (order.outcome === 'lost') return false;
    return order.outcome === 'done' || order.reason !== 'old-fence';
  };

  return {
    vote: (version) => exclusive(() => voteNow(version)),
    apply: (version, decision) => exclusive(() => applyNow(version, decision)),
  };
};
