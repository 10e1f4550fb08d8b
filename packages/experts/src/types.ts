import type { Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { Log } from '@plantaindrum/service-clients';

/** Where one expert of a layer has replicas. */
export interface ExpertPlacement {
  expert: number;
  ranks: number[];
}

/** An expert map as the engines take it; one list of placements for each layer. */
export interface ExpertMapDocument {
  version: number;
  layers: ExpertPlacement[][];
}

/** The fixed shape of a group. */
export interface GroupLayout {
  /** Ranks in the whole group. */
  rankCount: number;
  layers: number;
  /** Experts in each layer. */
  experts: number;
  /** Replicas that one rank's memory holds in each layer. */
  slots: number;
  /** Size of one expert's weights in one layer. */
  bytesPerExpert: number;
}

/** One rank as its engine reports it (`GET /group`). */
export interface RankState {
  rank: number;
  step: number;
  /** The map in use; null before the group is formed. */
  version: number | null;
  prepared: number[];
  /** Stays until the step has come, also when the switch is decided. */
  armed: { version: number; at_step: number; decided?: boolean } | null;
  holding: boolean;
  /** The rank's own work in its last step, without waiting for the others. */
  step_time_us: number;
  /** Tokens by layer and expert since the group was formed. */
  tokens_by_expert: number[][];
}

/** An engine's answer to `GET /group`. */
export interface EngineState {
  group: string | null;
  fence: number;
  /** Highest version that this engine will never arm. */
  refused_to: number;
  ranks: RankState[];
}

/** Orders that an engine takes for expert maps. */
export type OrderName =
  'form_group' | 'prepare_map' | 'arm_map' | 'switch_map' | 'abort_map' | 'refuse_map';

/** What became of an order; `lost` means that it may or may not take effect, now or later. */
export type OrderOutcome =
  { outcome: 'done' } | { outcome: 'refused'; reason: string } | { outcome: 'lost' };

/** The engine beside this agent. */
export interface EnginePort {
  order(name: OrderName, body: Readonly<Record<string, unknown>>): Promise<OrderOutcome>;
  /** Undefined when the engine can't be reached. */
  state(): Promise<EngineState | undefined>;
}

/** An agent of the group as the VM list shows it. */
export interface GroupPeer {
  node: string;
  ranks: readonly number[];
}

/** Outcome of a link call; the same shape as the link's own. */
export type PeerOutcome =
  | { outcome: 'answered'; value: unknown }
  | { outcome: 'failed'; value: unknown }
  | { outcome: 'lost' };

/** Calls a method of another agent of the group; never rejects. */
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

/** Durations in milliseconds. */
export interface GroupTimings {
  /** Between heartbeats of the coordinator. */
  heartbeatMs: number;
  /** Silence after which an agent tries to take over; up to as much again is added at random. */
  takeoverMs: number;
  /** An armed rank that has not heard the end asks the others after this, with jitter. */
  askAfterMs: number;
  /** Timeout of a link call, except for `prepare`. */
  callMs: number;
  /** Timeout of one prepare call; a further call goes on where it stopped. */
  prepareCallMs: number;
  /** A change that isn't prepared by then is given up. */
  prepareMs: number;
  /** Between two looks at the engine, for an armed map that this process knows nothing of. */
  watchMs: number;
  /** Between two plans. */
  planMs: number;
  /** Engines of one group that load weights at the same time. */
  loaders: number;
}

/** Defaults for a group whose steps take about five milliseconds. */
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

/** What the operator declared to matter more. */
export type Weighs = 'skew' | 'rebalancing-cost';

/** What a group member and a coordinator share. */
export interface GroupContext {
  group: string;
  /** This node's name in the VM list. */
  node: string;
  /** Random for each start of the process. */
  instance: string;
  /** The group's agents as listed, this one included; the list may lag. */
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
  /** Ranks in the whole group, from settings: a lagging list must not pass for a small group. */
  rankCount: number;
  /** The ranks that the engine beside this agent serves. */
  ranks: readonly number[];
  engine: EnginePort;
}

/** What `status` shows of a member. */
export interface GroupMemberStatus {
  group: string;
  /** Smallest fencing number that is obeyed; undefined while it isn't known after a start. */
  fence: number | undefined;
  /** Versions of maps that are armed and not decided. */
  undecided: number[];
}

/** The part of an agent that obeys the group's coordinator and settles armed maps. */
export interface GroupMember {
  /** Serves a link call; refusals are values, it never rejects. */
  serve(method: ExpertMethod, args: unknown): Promise<unknown>;
  /** Recovers the fencing number and settles what an earlier process left; runs until `close`. */
  run(): Promise<void>;
  close(): void;
  /** When the last heartbeat of a coordinator that is obeyed came (monotonic, ms). */
  lastHeartbeat(): number;
  status(): GroupMemberStatus;
}

/** Options of `createCoordinator`. */
export interface CoordinatorOptions extends GroupContext {
  /** The member in this same process; calls to this node go to it directly. */
  member: GroupMember;
  layout: GroupLayout;
  /** The operator's word, read at each plan. */
  weighs: () => Weighs;
  /** False while live traffic needs the VM; moves wait. */
  mayMove: () => boolean;
}

/** What a coordinator is doing; every agent of a group runs one. */
export type CoordinatorRole = 'standby' | 'claiming' | 'acting';

/** What `status` shows of a coordinator. */
export interface CoordinatorStatus {
  role: CoordinatorRole;
  fence: number | undefined;
  /** Version of the map that this coordinator last saw in use on all ranks. */
  version: number | undefined;
  /** Ranks that are slower than the rest, with their speed relative to the median. */
  stragglers: { rank: number; speed: number }[];
  /** Predicted slowest over mean rank load, for the map in use; 1 is even. */
  imbalance: number | undefined;
}

/** A group's coordinator task; it acts only while it holds the claim. */
export interface Coordinator {
  /** Runs until `close`. */
  run(): Promise<void>;
  close(): void;
  status(): CoordinatorStatus;
}
