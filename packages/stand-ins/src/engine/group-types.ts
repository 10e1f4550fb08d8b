/** What a group of engines in one process is asked for, and what it offers. */

import type { Clock } from '@plantaindrum/common';
import type { EngineCounts, EngineFaults, EngineLoad } from './engine.js';
import type { OracleReport } from './oracle.js';
import type { PopularityMotion } from './popularity.js';

/** Options of an engine group; all have defaults. */
export interface EngineGroupStandInOptions {
  engines?: number;
  ranksPerEngine?: number;
  /** One group of all ranks, or each engine on its own. */
  lockStep?: boolean;
  /** False: the engines wait for `form_group`, as after a restart. */
  formed?: boolean;
  group?: string;
  model?: string;
  layers?: number;
  experts?: number;
  seed?: number;
  /** Time of a step under the base load spread evenly. */
  stepMs?: number;
  baseTokensPerRank?: number;
  checksFence?: boolean;
  weightsUrl?: string;
  /** Generations that one engine runs at once. */
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

/** What one engine is doing. */
export interface EngineView extends EngineCounts, EngineLoad {
  url: string;
  alive: boolean;
  frozen: boolean;
  hitBlocks: number;
  missedBlocks: number;
  role: string;
  weights: { experts: number; bytes: number; retries: number };
}

/** The running group. */
export interface EngineGroupStandIn {
  readonly engines: string[];
  readonly control: string;
  setFaults(engine: number, change: Partial<EngineFaults>): void;
  /** Ends all connections at once, stops listening and forgets everything. */
  kill(engine: number): Promise<void>;
  /** Listens at the same address again, with an empty memory. */
  restart(engine: number): Promise<void>;
  releaseOrders(engine: number): void;
  movePopularity(motion: PopularityMotion, seed?: number): void;
  oracle(recent?: number): OracleReport;
  resetOracle(): void;
  views(): EngineView[];
  /** Generations started over all engines, by completion id. */
  starts(): Record<string, number>;
  /** Resolves when `holds` is true; checked at each step, order, request and fault. */
  waitFor(holds: () => boolean): Promise<void>;
  close(): Promise<void>;
}
