/** Types of the emulated engine group. */

import type { ManualClock, Random } from '@plantaindrum/common';
import type { OrderOutcome, Placement, RankOrder, RankReport } from '@plantaindrum/rank-groups';
import type { Content } from './content.js';

/** Times and sizes of one engine, from the users' specification. */
export interface EngineTimes {
  /** Requests that run at the same time. */
  slots: number;
  stepMs: number;
  /** Additional time of a step for each request that generates tokens. */
  perSeqMs: number;
  /** Additional time of a step for each 1000 prompt tokens of these requests. */
  contextMsPerK: number;
  prefillTokensPerMs: number;
  /** Maximum number of prompt tokens that one step prefills. */
  chunk: number;
  /** Steps of a pass in which tokens are generated; also the number of tokens of an event. */
  stride: number;
  /** Fraction of the work for tokens that experts do. */
  expertShare: number;
  /** Experts that a token selects, over all sets. */
  picksPerToken: number;
  /** Factor for the pass time while a rank copies experts. */
  copyFactor: number;
}

/** A request at an engine. */
export interface EngineRequest {
  topic: number;
  promptTokens: number;
  events: number;
  /** Called for each event, with its number from 1. */
  onEvent: (n: number) => void;
  onEnd: () => void;
}

/** Options of `createEngineGroup`. */
export interface EngineGroupOptions {
  ranks: number;
  sets: number;
  experts: number;
  copyMs: number;
  times: EngineTimes;
  content: Content;
  clock: ManualClock;
  random: Random;
}

/** A running group. */
export interface EngineGroup {
  /** Submits a request to a rank; other ranks have generated `written` of its events. */
  submit(rank: number, request: EngineRequest, written?: number): void;
  /** Removes all requests from a rank and returns them with the number of their generated events. */
  withdraw(rank: number): { request: EngineRequest; written: number }[];
  /** Number of requests that run or wait at a rank. */
  load(rank: number): number;
  report(rank: number): RankReport;
  counts(rank: number): readonly number[];
  placement(): { version: number; placement: Placement };
  order(rank: number, order: RankOrder): OrderOutcome;
  /** Sets the slowdown of a rank: the factor by which its own work takes longer. */
  slow(rank: number, factor: number): void;
  figures(): GroupFigures;
  close(): void;
}

/** Figures over all passes. */
export interface GroupFigures {
  passes: number;
  meanPassMs: number;
  /** Load of the most loaded rank relative to the mean, averaged over the passes. */
  meanSkew: number;
  copies: number;
  mixedPasses: number;
}
