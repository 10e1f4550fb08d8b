/** Expert groups whose engines take orders one by one and don't compare maps. */

/** Experts that each rank holds, by set of layers: `placement[set][rank]`. */
export type Placement = number[][][];

/** The fixed shape of a group. */
export interface GroupShape {
  /** Sets of layers that share one placement. */
  sets: number;
  /** Experts in each set. */
  experts: number;
  /** Experts that a rank may hold in each set. */
  places: number;
  /** Experts that one change may bring new to a rank, in each set. */
  spare: number;
  /** Time in which a rank copies one expert, in milliseconds. */
  copyMs: number;
  /** Longest pause between two events that callers of the group's streams want, in ms, where it is declared. */
  targetPauseMs?: number | undefined;
}

/** One rank as its engine reports it. */
export interface RankReport {
  group: string;
  /** Unix time at which the engine started, in milliseconds; 0 where the platform doesn't tell. */
  startedAt: number;
  /** Grows each time the group forms anew; map, preparations and holds are gone then. */
  epoch: number;
  rank: number;
  size: number;
  isOpen: boolean;
  /** The last pass that was begun. */
  step: number;
  /** Version of the map in use. */
  map: number;
  /** The one version whose experts are all copied and that may be armed. */
  prepared: number | undefined;
  armed: { version: number; step: number } | undefined;
  /** Time of its own work over the usual; above 1 the rank is slow. */
  pace: number;
  /** The group does not begin this pass until this rank is told to go on. */
  held: number | undefined;
}

/** How often each expert was chosen by a rank's requests since the engine started. */
export interface ExpertCounts {
  /** Start of the engine, from which it counts. */
  startedAt: number;
  epoch: number;
  step: number;
  /** Set by set. */
  counts: readonly number[];
}

/** The experts that one rank holds now. */
export interface RankPlacement {
  epoch: number;
  version: number;
  /** Experts by set. */
  experts: readonly (readonly number[])[];
}

/** An order to one rank. Each names the epoch that it was made for, and is refused in another. */
export type RankOrder =
  | { op: 'prepare'; epoch: number; version: number; placement: Placement }
  /** Use the version from this pass on. */
  | { op: 'arm'; epoch: number; version: number; step: number }
  | { op: 'disarm'; epoch: number; version: number }
  | { op: 'hold'; epoch: number; step: number }
  | { op: 'go'; epoch: number; step: number };

/** `no-answer`: it may have been carried out, or may be many seconds later. */
export type OrderOutcome = 'done' | 'refused' | 'no-answer';

/** The engine of one rank. */
export interface RankEngine {
  report(): Promise<RankReport | undefined>;
  counts(): Promise<ExpertCounts | undefined>;
  placement(): Promise<RankPlacement | undefined>;
  order(order: RankOrder): Promise<OrderOutcome>;
}

/** What the operator declared to matter more. */
export type Weighs = 'skew' | 'rebalancing-cost';
