/** What an emulated group of engines is given, and what it shows. */

import type { ManualClock, Random } from '@plantaindrum/common';
import type { OrderOutcome, Placement, RankOrder, RankReport } from '@plantaindrum/rank-groups';
import type { Content } from './content.js';

/** Times and sizes of one engine, as the users' sheet gives them. */
export interface EngineTimes {
  slots: number;
  stepMs: number;
  perSeqMs: number;
  contextMsPerK: number;
  prefillTokensPerMs: number;
  /** Prompt tokens that one step reads at the most. */
  chunk: number;
  /** Steps of a pass while anything is written; an event holds this many tokens. */
  stride: number;
  /** Part of the work that goes to experts. */
  expertShare: number;
  /** Experts that a token chooses, over all sets. */
  picksPerToken: number;
  /** Passes take this much longer while a rank copies. */
  copyFactor: number;
}

/** A request at an engine. */
export interface EngineRequest {
  topic: number;
  promptTokens: number;
  events: number;
  /** Told of each event, with its number from 1. */
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
  /** Gives a rank a request, of which this many events have been made elsewhere. */
  submit(rank: number, request: EngineRequest, written?: number): void;
  /** Takes all requests from a rank, with the events that each has made. */
  withdraw(rank: number): { request: EngineRequest; written: number }[];
  /** Requests running and waiting at a rank. */
  load(rank: number): number;
  report(rank: number): RankReport;
  counts(rank: number): readonly number[];
  placement(): { version: number; placement: Placement };
  order(rank: number, order: RankOrder): OrderOutcome;
  /** A rank's own work takes this much longer. */
  slow(rank: number, factor: number): void;
  figures(): GroupFigures;
  close(): void;
}

/** What the passes came to. */
export interface GroupFigures {
  passes: number;
  meanPassMs: number;
  /** Most loaded rank over the mean, weighed by passes. */
  meanSkew: number;
  copies: number;
  mixedPasses: number;
}
