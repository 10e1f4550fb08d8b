/** Specification and figures of an emulated day. */

import type { ManualClock } from '@plantaindrum/common';
import type { PassTimes, Upstream } from '@plantaindrum/gateway';
import type { Weighs } from '@plantaindrum/rank-groups';
import type { ContentShape } from './content.js';
import type { EngineTimes, GroupFigures } from './engine-types.js';

/** A stream that a caller requests. */
export interface StreamRequest {
  promptTokens: number;
  events: number;
  /** Whether the caller was refused before and has returned. */
  isReturn: boolean;
}

/** Decides whether a stream is admitted now. */
export type AdmitStream = (request: StreamRequest, upstreams: readonly Upstream[]) => boolean;

/** Inputs of an admission policy. */
export interface AdmissionTools {
  clock: ManualClock;
  /** Slots of all engines together. */
  slots: number;
  /** Pass times that the engines declare. */
  passTimes: PassTimes;
}

/** An admission policy; it receives each pause between two events and the end of each stream. */
export interface AdmissionPolicy {
  admit: AdmitStream;
  recordPause(ms: number): void;
  recordEnd(request: StreamRequest): void;
}

/** Specification of an emulated day. */
export interface DaySpec {
  seed: number;
  lengthMs: number;
  ranks: number;
  /** Slots of a rank for experts, in each set. */
  places: number;
  /** Experts that one map change may add to a rank, in each set. */
  spare: number;
  /** Time to copy one expert. */
  copyMs: number;
  content: ContentShape;
  times: EngineTimes;
  /** Streams that start each second, and their mean sizes. */
  perSecond: number;
  promptTokens: number;
  events: number;
  /** Interval of the shifts of popularity, and the fraction of the demand that each shift moves. */
  shiftEveryMs: number;
  shiftShare: number;
  /** Measure that the balancer weighs; `undefined` keeps the initial map. */
  weighs: Weighs | undefined;
  policy: (tools: AdmissionTools) => AdmissionPolicy;
  /** Round trip of an order to a rank, 4 ms by default. */
  orderMs?: number;
  /** Fraction of the orders that get no answer and are carried out late. */
  lateOrders?: number;
  /** Ranks that are slow for some time, by `factor`. */
  stragglers?: readonly { atMs: number; rank: number; factor: number; forMs: number }[];
  /** Time during which the last rank takes part in passes but is unreachable. */
  unreachable?: { fromMs: number; toMs: number };
  /** Whether slow ranks keep their streams and get new ones. */
  keepsSlowRanks?: boolean;
  /** Period in which the traffic is multiplied by `factor`. */
  burst?: { fromMs: number; toMs: number; factor: number };
}

/** Figures of an emulated day. */
export interface DayFigures extends GroupFigures {
  streams: number;
  onTime: number;
  late: number;
  /** Late streams whose first event was late. */
  lateFirst: number;
  refused: number;
  /** Fraction of the worth of all streams that was earned; a late stream earns half. */
  worth: number;
  /** Time from a shift to the first pass with the next map. */
  shiftToMapMedianMs: number;
  shiftToMapP95Ms: number;
}
