/**
 * Types of expert groups whose engines accept single orders and don't compare maps with each other.
 */

/** Experts of each rank in each set of layers: `placement[set][rank]`. */
export type Placement = number[][][];

/** The fixed dimensions of a group. */
export interface GroupShape {
  /** Number of sets of layers; the layers of a set share one placement. */
  sets: number;
  /** Experts in each set. */
  experts: number;
  /** Slots for experts at a rank, in each set. */
  places: number;
  /** Maximum number of new experts that a rank can receive in one change, in each set. */
  spare: number;
  /** Time a rank takes to copy one expert, in ms. */
  copyMs: number;
  /** Target for the longest pause between two events of a caller's stream, in ms, if declared. */
  targetPauseMs?: number | undefined;
}

/** State of one rank as its engine reports it. */
export interface RankReport {
  group: string;
  /** Unix time of the engine's start, in ms; 0 when the platform doesn't provide it. */
  startedAt: number;
  /** Increases each time the group forms again, which discards its map, preparations and holds. */
  epoch: number;
  rank: number;
  size: number;
  isOpen: boolean;
  /** Number of the last pass that has begun. */
  step: number;
  /** Version of the map in use. */
  map: number;
  /** The version whose experts are all copied and that may be armed. */
  prepared: number | undefined;
  armed: { version: number; step: number } | undefined;
  /** Slowdown: the rank's own compute time relative to its baseline; above 1 the rank is slow. */
  pace: number;
  /** The group does not begin this pass before this rank receives `go`. */
  held: number | undefined;
}

/** Selection counts of each expert at one rank since the engine started. */
export interface ExpertCounts {
  /** Unix time of the engine's start, in ms. */
  startedAt: number;
  epoch: number;
  step: number;
  /** Counts of all experts, set by set. */
  counts: readonly number[];
}

/** Experts that one rank currently holds. */
export interface RankPlacement {
  epoch: number;
  version: number;
  /** Experts of each set. */
  experts: readonly (readonly number[])[];
}

/** An order to one rank. It names the epoch for which it was made and is refused in any other. */
export type RankOrder =
  | { op: 'prepare'; epoch: number; version: number; placement: Placement }
  /** Uses the version from this pass on. */
  | { op: 'arm'; epoch: number; version: number; step: number }
  | { op: 'disarm'; epoch: number; version: number }
  | { op: 'hold'; epoch: number; step: number }
  | { op: 'go'; epoch: number; step: number };

/** `no-answer`: the order may have been carried out, or may still be, many seconds later. */
export type OrderOutcome = 'done' | 'refused' | 'no-answer';

/** Client of one rank's engine. */
export interface RankEngine {
  report(): Promise<RankReport | undefined>;
  counts(): Promise<ExpertCounts | undefined>;
  placement(): Promise<RankPlacement | undefined>;
  order(order: RankOrder): Promise<OrderOutcome>;
}

/**
 * Priority declared by the operator: even load (`skew`), or few copied experts
 * (`rebalancing-cost`).
 */
export type Weighs = 'skew' | 'rebalancing-cost';
