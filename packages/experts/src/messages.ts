import type { EngineState, ExpertMapDocument } from './types.js';

/** Why an agent does not obey a coordinator. */
export type FenceRefusal = 'old-fence' | 'fence-unknown' | 'restarted';

/** A coordinator's order was not obeyed; `fence` is the smallest number that would be. */
export interface Refused {
  outcome: 'refused';
  reason: string;
  fence: number | undefined;
}

/** The engine or the link gave no answer: the order may still take effect. */
export interface Lost {
  outcome: 'lost';
}

/** Every order carries the number of the claim that it rests on. */
export interface Fenced {
  fence: number;
}

/** Second round of registration: still the process that registered in the first one? */
export interface RegisterArgs extends Fenced {
  expectInstance?: string;
}

/** The agent obeys this fence, or a larger one, from now on. */
export interface Registered {
  outcome: 'registered';
  instance: string;
  state: EngineState | undefined;
}

/** What an agent tells whoever asks about its coordinator. */
export interface FenceAnswer {
  fence: number | undefined;
  /** Time since the last heartbeat of a coordinator that is obeyed. */
  silentMs: number;
}

/** One rank in brief. */
export interface RankBeat {
  rank: number;
  step: number;
  /** The map in use; null for an engine with nothing in memory. */
  version: number | null;
  armed: number | null;
  /** The rank's own work in its last step. */
  stepTimeUs: number;
}

/** One engine in brief; rides on heartbeats. */
export interface HeartbeatAnswer {
  outcome: 'ok';
  instance: string;
  ranks: RankBeat[];
}

/**
 * Tokens that one engine computed since it was formed. Only the experts that it holds are listed,
 * so the reports of a group grow with its replicas and not with its ranks times its experts.
 */
export interface ReportAnswer {
  outcome: 'ok';
  /** Layer times experts in a layer, plus expert. */
  at: number[];
  tokens: number[];
}

/** Start the group with this map. */
export interface FormArgs extends Fenced {
  version: number;
  rankCount: number;
  map: ExpertMapDocument;
}

/** Load the weights for this map. */
export interface PrepareArgs extends Fenced {
  version: number;
  map: ExpertMapDocument;
}

/** Hold before `atStep` until the change is decided. */
export interface ArmArgs extends Fenced {
  version: number;
  atStep: number;
}

/** How a change ended; a fact about the group, so it needs no fence. */
export type Decision = 'switch' | 'abort';

/** Tells an armed rank how the change ended. */
export interface DecideArgs {
  version: number;
  decision: Decision;
}

/** Asks how this agent's ranks stand to a version; ranks that are not armed refuse it for good. */
export interface OutcomeArgs {
  version: number;
}

/**
 * How the ranks of one engine stand to a version. `armed` and `refused` exclude each other for
 * good; `unknown` means that the engine could not be asked.
 */
export interface Vote {
  vote: 'armed' | 'switched' | 'refused' | 'unknown';
  ranks: readonly number[];
}

/** Which map document to send. */
export interface MapArgs {
  version: number;
}
