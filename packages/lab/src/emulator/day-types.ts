/** What an emulated day is made of, and what it comes to. */

import type { ManualClock } from '@plantaindrum/common';
import type { PassTimes, Upstream } from '@plantaindrum/gateway';
import type { Weighs } from '@plantaindrum/rank-groups';
import type { ContentShape } from './content.js';
import type { EngineTimes, GroupFigures } from './engine-types.js';

/** A stream as its caller sees it. */
export interface StreamRequest {
  promptTokens: number;
  events: number;
  isReturn: boolean;
}

/** Whether a stream is taken now. */
export type AdmitStream = (request: StreamRequest, upstreams: readonly Upstream[]) => boolean;

/** What an admission policy may use. */
export interface AdmissionTools {
  clock: ManualClock;
  slots: number;
  /** What the engines state of their passes. */
  passTimes: PassTimes;
}

/** An admission policy; told of each pause between two events and of each stream's end. */
export interface AdmissionPolicy {
  admit: AdmitStream;
  notePause(ms: number): void;
  noteEnd(request: StreamRequest): void;
}

/** One day. */
export interface DaySpec {
  seed: number;
  lengthMs: number;
  ranks: number;
  places: number;
  spare: number;
  copyMs: number;
  content: ContentShape;
  times: EngineTimes;
  /** Streams that begin each second, and what they ask for on average. */
  perSecond: number;
  promptTokens: number;
  events: number;
  /** Other experts come into demand this often, for this share of the picks. */
  shiftEveryMs: number;
  shiftShare: number;
  /** Undefined: the map is left as it is. */
  weighs: Weighs | undefined;
  policy: (tools: AdmissionTools) => AdmissionPolicy;
  /** Time of an order to all ranks with its answers, in ms; 4 unless said otherwise. */
  orderMs?: number;
  /** Part of the orders that are answered by nobody and carried out late. */
  lateOrders?: number;
  /** Ranks that are slow for a while. */
  stragglers?: readonly { atMs: number; rank: number; factor: number; forMs: number }[];
  /** The last rank takes part in passes and can't be reached for this time. */
  unreachable?: { fromMs: number; toMs: number };
  /** Streams stay at a slow rank, and new ones are sent there. */
  keepsSlowRanks?: boolean;
  /** Times the usual traffic between two moments. */
  burst?: { fromMs: number; toMs: number; factor: number };
}

/** What a day came to. */
export interface DayFigures extends GroupFigures {
  streams: number;
  onTime: number;
  late: number;
  /** Of the late ones, those whose first event was late. */
  lateFirst: number;
  refused: number;
  /** Part of the worth of all streams that was earned; a late one earns half. */
  worth: number;
  /** From a shift to the pass that uses the next map, in ms. */
  shiftToMapMedianMs: number;
  shiftToMapP95Ms: number;
}
