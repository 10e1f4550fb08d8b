import type { Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { Log } from '@plantaindrum/service-clients';

/** Ranks that hold a replica of one expert in a layer. */
export interface ExpertPlacement {
  expert: number;
  ranks: number[];
}

/** An expert map in the format of the engines, with one list of placements per layer. */
export interface ExpertMapDocument {
  version: number;
  layers: ExpertPlacement[][];
}

/** Fixed dimensions of a group. */
export interface GroupLayout {
  /** Number of ranks in the group. */
  rankCount: number;
  layers: number;
  /** Number of experts in each layer. */
  experts: number;
  /** Capacity of one rank in each layer, in replicas. */
  slots: number;
  /** Size of one expert's weights in one layer, in bytes. */
  bytesPerExpert: number;
}

/** State of one rank in an engine's answer to `GET /group`. */
export interface RankState {
  rank: number;
  step: number;
  /** The map in use; null before the group is formed. */
  version: number | null;
  prepared: number[];
  /** The armed map; it stays set until `at_step`, even after the switch is decided. */
  armed: { version: number; at_step: number; decided?: boolean } | null;
  holding: boolean;
  /**
   * Time of the rank's own work in its last step in microseconds, without waiting for other ranks.
   */
  step_time_us: number;
  /** Tokens computed since the group was formed, by layer and expert. */
  tokens_by_expert: number[][];
}

/** An engine's answer to `GET /group`. */
export interface EngineState {
  group: string | null;
  fence: number;
  /** Versions up to this one can't be armed any more. */
  refused_to: number;
  ranks: RankState[];
}

/** Orders to an engine that concern expert maps. */
export type OrderName =
  'form_group' | 'prepare_map' | 'arm_map' | 'switch_map' | 'abort_map' | 'refuse_map';

/** Outcome of an order; `lost` means that it may still take effect, or may not. */
export type OrderOutcome =
  { outcome: 'done' } | { outcome: 'refused'; reason: string } | { outcome: 'lost' };

/** Access to the engine of this agent. */
export interface EnginePort {
  /** Sends an order; the promise never rejects. */
  order(name: OrderName, body: Readonly<Record<string, unknown>>): Promise<OrderOutcome>;
  /** Current state of the engine; undefined when it can't be reached. */
  state(): Promise<EngineState | undefined>;
}

/** An agent of the group in the VM list. */
export interface GroupPeer {
  node: string;
  ranks: readonly number[];
}

/** Outcome of a link call, of the same shape as in the link package. */
export type PeerOutcome =
  | { outcome: 'answered'; value: unknown }
  | { outcome: 'failed'; value: unknown }
  | { outcome: 'lost' };

/** Calls a method of another agent of the group; the promise never rejects. */
export type PeerCall = (
  node: string,
  method: ExpertMethod,
  args: unknown,
  timeoutMs: number,
) => Promise<PeerOutcome>;

/** Link-call methods between the agents of a group. */
export type ExpertMethod =
  | 'experts.register'
  | 'experts.fence'
  | 'experts.heartbeat'
  | 'experts.report'
  | 'experts.map'
  | 'experts.form'
  | 'experts.prepare'
  | 'experts.arm'
  | 'experts.decide'
  | 'experts.outcome';

/** All methods, for registration on a link. */
export const EXPERT_METHODS: readonly ExpertMethod[] = [
  'experts.register',
  'experts.fence',
  'experts.heartbeat',
  'experts.report',
  'experts.map',
  'experts.form',
  'experts.prepare',
  'experts.arm',
  'experts.decide',
  'experts.outcome',
];

/** Intervals and timeouts of a group, in milliseconds. */
export interface GroupTimings {
  /** Interval between heartbeats of the coordinator. */
  heartbeatMs: number;
  /** Time without heartbeats before a takeover; up to the same time again is added at random. */
  takeoverMs: number;
  /** Delay before an agent queries the others about an in-doubt change; jitter is added. */
  askAfterMs: number;
  /** Timeout of a link call other than `prepare`. */
  callMs: number;
  /** Timeout of one prepare call; the next call continues where it stopped. */
  prepareCallMs: number;
  /** Timeout of the prepare phase, after which the change is aborted. */
  prepareMs: number;
  /** Interval between checks of the engine for an armed map that this process doesn't know. */
  watchMs: number;
  /** Interval between plans. */
  planMs: number;
  /** Largest number of engines of a group that load weights at the same time. */
  loaders: number;
}

/** Default timings, for a group with a step time of about five milliseconds. */
export const defaultTimings: GroupTimings = {
  heartbeatMs: 1_000,
  takeoverMs: 4_000,
  askAfterMs: 20,
  callMs: 500,
  prepareCallMs: 10_000,
  prepareMs: 120_000,
  watchMs: 1_000,
  planMs: 60_000,
  loaders: 2,
};

/** What weighs more for the operator: an even load (`skew`) or few moves (`rebalancing-cost`). */
export type RebalancingPriority = 'skew' | 'rebalancing-cost';

/** Options that a group member and a coordinator have in common. */
export interface GroupContext {
  group: string;
  /** Name of this node in the VM list. */
  node: string;
  /** Random id of this process. */
  instance: string;
  /** All agents of the group in the VM list, which may lag, including this one. */
  members: () => readonly GroupPeer[];
  call: PeerCall;
  log: Log;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  logger: Logger;
  timings?: Partial<GroupTimings>;
}

/** Options of `createGroupMember`. */
export interface GroupMemberOptions extends GroupContext {
  /**
   * Number of ranks in the group, from settings: a lagging list must not look like a smaller group.
   */
  rankCount: number;
  /** Ranks of this agent's engine. */
  ranks: readonly number[];
  engine: EnginePort;
}

/** State of a group member, for `status`. */
export interface GroupMemberStatus {
  group: string;
  /** Smallest fencing token that is accepted; undefined until it is recovered after a start. */
  fence: number | undefined;
  /** Versions of maps that are armed and undecided. */
  undecided: number[];
}

/** The part of an agent that executes the coordinator's orders and resolves in-doubt changes. */
export interface GroupMember {
  /** Serves a link call. Refusals are values; the promise never rejects. */
  serve(method: ExpertMethod, args: unknown): Promise<unknown>;
  /** Recovers the fencing token and resolves in-doubt changes; runs until `close`. */
  run(): Promise<void>;
  close(): void;
  /** Monotonic time of the last heartbeat with an accepted fencing token, in milliseconds. */
  lastHeartbeatAt(): number;
  status(): GroupMemberStatus;
}

/** Options of `createCoordinator`. */
export interface CoordinatorOptions extends GroupContext {
  /** The member in this process; calls to this node go directly to it. */
  member: GroupMember;
  layout: GroupLayout;
  /** What the operator set to weigh more; read for each plan. */
  weighs: () => RebalancingPriority;
  /** False while live traffic needs the VM, which delays moves of experts. */
  mayMove: () => boolean;
}

/** Role of an agent's coordinator task; every agent of a group runs one. */
export type CoordinatorRole = 'standby' | 'claiming' | 'acting';

/** State of a coordinator, for `status`. */
export interface CoordinatorStatus {
  role: CoordinatorRole;
  fence: number | undefined;
  /** Version of the map that this coordinator last saw in use at all ranks. */
  version: number | undefined;
  /** Slow ranks, with their speed relative to the median. */
  stragglers: { rank: number; speed: number }[];
  /** Predicted step time with the map in use, relative to that of an even load. */
  imbalance: number | undefined;
}

/** Coordinator task of a group; it acts only while it holds the claim. */
export interface Coordinator {
  /** Runs until `close`. */
  run(): Promise<void>;
  close(): void;
  status(): CoordinatorStatus;
}
