/** Options and interface of a group of engines in one process. */

import type { Clock } from '@plantaindrum/common';
import type { EngineCounts, EngineFaults, EngineLoad } from './engine.js';
import type { OracleReport } from './oracle.js';
import type { PopularityMotion } from './popularity.js';

/** Options of `createEngineGroupStandIn`; all have defaults. */
export interface EngineGroupStandInOptions {
  engines?: number;
  ranksPerEngine?: number;
  /** True: all engines form one group. False: each engine forms its own. */
  lockStep?: boolean;
  /**
   * Whether the group is formed at the start; if not, the engines wait for `form_group` as after a
   * restart.
   */
  formed?: boolean;
  group?: string;
  model?: string;
  layers?: number;
  experts?: number;
  seed?: number;
  /** Time of a step when only the base load is computed and evenly distributed. */
  stepMs?: number;
  baseTokensPerRank?: number;
  checksFence?: boolean;
  weightsUrl?: string;
  /** Maximum number of generations that one engine runs concurrently. */
  maxRunning?: number;
  prefillTokensPerStep?: number;
  cacheBlocks?: number;
  eventLagMs?: number;
  eventDropShare?: number;
  metricsLagMs?: number;
  controlPort?: number;
  ports?: number[];
  clock?: Clock;
}

/** Current state of one engine. */
export interface EngineView extends EngineCounts, EngineLoad {
  url: string;
  alive: boolean;
  frozen: boolean;
  hitBlocks: number;
  missedBlocks: number;
  role: string;
  weights: { experts: number; bytes: number; retries: number };
}

/** A running engine group. */
export interface EngineGroupStandIn {
  readonly engines: string[];
  readonly control: string;
  setFaults(engine: number, change: Partial<EngineFaults>): void;
  /** Simulates a crash: closes all connections, stops listening and loses all memory. */
  kill(engine: number): Promise<void>;
  /** Listens on the same port again, with an empty memory. */
  restart(engine: number): Promise<void>;
  releaseOrders(engine: number): void;
  movePopularity(motion: PopularityMotion, seed?: number): void;
  oracle(recent?: number): OracleReport;
  resetOracle(): void;
  views(): EngineView[];
  /** Number of generations started on all engines, by completion id. */
  starts(): Record<string, number>;
  /** Resolves when `predicate` returns true; checked on each step, order, request and fault. */
  waitFor(predicate: () => boolean): Promise<void>;
  close(): Promise<void>;
}
