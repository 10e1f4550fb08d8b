import type { EngineState, ExpertMapDocument } from './types.js';

/** Why an agent refuses a coordinator's order. */
export type FenceRefusal = 'old-fence' | 'fence-unknown' | 'restarted';

/** A refused order; `fence` is the smallest fencing token that the agent accepts. */
export interface Refused {
  outcome: 'refused';
  reason: string;
  fence: number | undefined;
}

/** An order without an answer from the engine or the link; it may still take effect. */
export interface Lost {
  outcome: 'lost';
}

/** Fencing token that every order carries: the offset of its coordinator's claim. */
export interface Fenced {
  fence: number;
}

/** Registers a fencing token; `expectInstance` is set in the second round, to detect restarts. */
export interface RegisterArgs extends Fenced {
  expectInstance?: string;
}

/** From now on, the agent accepts only this fencing token or larger ones. */
export interface Registered {
  outcome: 'registered';
  instance: string;
  state: EngineState | undefined;
}

/** Answer to a query about the agent's coordinator. */
export interface FenceAnswer {
  fence: number | undefined;
  /** Time since the last heartbeat with an accepted fencing token, in milliseconds. */
  silentMs: number;
}

/** State of one rank in a heartbeat answer. */
export interface RankHeartbeat {
  rank: number;
  step: number;
  /** The map in use; null for a blank engine. */
  version: number | null;
  armed: number | null;
  /** Time of the rank's own work in its last step, in microseconds. */
  stepTimeUs: number;
}

/** Answer to a heartbeat, with the state of the engine's ranks. */
export interface HeartbeatAnswer {
  outcome: 'ok';
  instance: string;
  ranks: RankHeartbeat[];
}

/**
 * Tokens that one engine has computed since it was formed. Only experts with tokens are listed, so
 * that the reports of a group grow with its replicas and not with its ranks times its experts.
 */
export interface ReportAnswer {
  outcome: 'ok';
  /** Indexes of the experts: the layer times the experts per layer, plus the expert. */
  at: number[];
  tokens: number[];
}

/** Forms the group with a map. */
export interface FormArgs extends Fenced {
  version: number;
  rankCount: number;
  map: ExpertMapDocument;
}

/** Loads the weights for a map. */
export interface PrepareArgs extends Fenced {
  version: number;
  map: ExpertMapDocument;
}

/** Holds the ranks before `atStep` until the change is decided. */
export interface ArmArgs extends Fenced {
  version: number;
  atStep: number;
}

/** Decision on a change. It is a fact about the group, so it needs no fencing token. */
export type Decision = 'switch' | 'abort';

/** Sends the decision on a change to armed ranks. */
export interface DecideArgs {
  version: number;
  decision: Decision;
}

/**
 * Queries the vote of an agent's ranks on a version; ranks that are not armed then refuse it for
 * good.
 */
export interface OutcomeArgs {
  version: number;
}

/**
 * Vote of one engine's ranks on a version. `armed` and `refused` exclude each other for good;
 * `unknown` means that the engine could not be queried.
 */
export interface Vote {
  vote: 'armed' | 'switched' | 'refused' | 'unknown';
  ranks: readonly number[];
}

/** Fetches the map document of a version. */
export interface MapArgs {
  version: number;
}
