/** One engine: its batch, cache, map state and faults, without its HTTP server. */
import type { Clock, Random } from '@plantaindrum/common';
import { createLagged } from '../lagged.js';
import type { Signal } from '../signal.js';
import { createSignal } from '../signal.js';
import type { Batch } from './batch.js';
import { createBatch } from './batch.js';
import type { MapState } from './orders.js';
import { createMapState } from './orders.js';
import type { PrefixCache } from './prefix-cache.js';
import { createPrefixCache } from './prefix-cache.js';
import type { WeightLoader } from './weights.js';
import { createWeightLoader } from './weights.js';

/** Fault of the next `count` orders with this name, or with any name if none is given. */
export interface OrderFault {
  fault: 'drop' | 'lose-answer' | 'twice' | 'hold';
  name?: string;
  count: number;
}

/** Faults that one engine can simulate, all off by default. */
export interface EngineFaults {
  /** Accepts connections, but sends no responses and runs no steps. */
  frozen: boolean;
  /** Relative speed by rank; 1 is normal, 0.5 doubles the step time. */
  speeds: number[];
  /** Refuses orders with a stale fencing token. */
  checksFence: boolean;
  /** Response of `GET /group`: the current state, the last one reported live, or none (503). */
  groupReport: 'live' | 'stale' | 'missing';
  /** Random variation of each step time, as a fraction of it in either direction. */
  timeNoise: number;
  /** Fraction of cache events that are lost. */
  eventDropShare: number;
  healthy: boolean;
  /** Completion requests get a 503 response without running. */
  refuses: boolean;
  /** The next `count` streams are reset after `afterTokens` tokens. */
  breakStreams: { count: number; afterTokens: number };
  orders: OrderFault[];
}

/** Counters of one engine. */
export interface EngineCounts {
  started: number;
  finished: number;
  cancelled: number;
  tokens: number;
  /** Orders currently delayed by a `hold` fault. */
  heldOrders: number;
  orders: Record<string, number>;
  refusedOrders: Record<string, number>;
}

/** Options shared by all engines of a process. */
export interface EngineOptions {
  clock: Clock;
  random: Random;
  model: string;
  weightsUrl?: string;
  checksFence: boolean;
  maxRunning: number;
  prefillTokensPerStep: number;
  cacheBlocks: number;
  eventLagMs: number;
  eventDropShare: number;
  metricsLagMs: number;
}

/** Load as reported by `GET /metrics`. */
export interface EngineLoad {
  running: number;
  waiting: number;
  cacheUsage: number;
}

/** State that is lost in a crash. */
export interface EngineMemory {
  state: MapState;
  batch: Batch;
  cache: PrefixCache;
  weights: WeightLoader;
  role: string;
  models: Set<string>;
  adapters: Set<string>;
  reported: { get(): EngineLoad };
}

/** One engine of the process. */
export interface Engine {
  readonly index: number;
  /** Numbers of the ranks that it runs. */
  readonly ranks: number[];
  readonly faults: EngineFaults;
  readonly counts: EngineCounts;
  /** Number of generations started, by completion id (which is derived from the prompt). */
  readonly starts: Map<string, number>;
  /** Tokens computed so far, by rank, layer and expert. */
  readonly tokensByExpert: Float64Array[][];
  /** Time that each rank took for the last step, in microseconds. */
  readonly rankUs: number[];
  memory: EngineMemory;
  alive: boolean;
  /** Notified to release held orders. */
  readonly ordersReleased: Signal;
  /** Resets `memory` and the token counts, as a crash does. */
  wipe(): void;
}

/** Creates an engine with an empty memory. */
export const createEngine = (
  index: number,
  ranks: number[],
  dimensions: { layers: number; experts: number },
  options: EngineOptions,
  onChange: () => void,
): Engine => {
  const { clock, model } = options;
  const faults: EngineFaults = {
    frozen: false,
    speeds: ranks.map(() => 1),
    checksFence: options.checksFence,
    groupReport: 'live',
    timeNoise: 0,
    eventDropShare: options.eventDropShare,
    healthy: true,
    refuses: false,
    breakStreams: { count: 0, afterTokens: 0 },
    orders: [],
  };

  const createMemory = (): EngineMemory => {
    const cache = createPrefixCache({
      clock,
      random: options.random,
      capacityBlocks: options.cacheBlocks,
      eventLagMs: options.eventLagMs,
      eventDropShare: faults.eventDropShare,
    });
    const reported = createLagged<EngineLoad>(
      clock,
      { running: 0, waiting: 0, cacheUsage: 0 },
      options.metricsLagMs,
    );
    const batch: Batch = createBatch({
      cache,
      maxRunning: options.maxRunning,
      prefillTokensPerStep: options.prefillTokensPerStep,
      onChange: () => {
        reported.set({ ...batch.counts(), cacheUsage: cache.usage() });
        onChange();
      },
    });
    return {
      state: createMapState(),
      batch,
      cache,
      weights: createWeightLoader(clock, model, options.weightsUrl),
      role: 'both',
      models: new Set([model]),
      adapters: new Set(),
      reported,
    };
  };

  const engine: Engine = {
    index,
    ranks,
    faults,
    counts: {
      started: 0,
      finished: 0,
      cancelled: 0,
      tokens: 0,
      heldOrders: 0,
      orders: {},
      refusedOrders: {},
    },
    starts: new Map(),
    tokensByExpert: ranks.map(() =>
      Array.from({ length: dimensions.layers }, () => new Float64Array(dimensions.experts)),
    ),
    rankUs: ranks.map(() => 0),
    memory: createMemory(),
    alive: true,
    ordersReleased: createSignal(),
    wipe: () => {
      engine.memory.weights.close();
      engine.memory = createMemory();
      engine.tokensByExpert.flat().forEach((tokens) => tokens.fill(0));
    },
  };
  return engine;
};
