/** One engine: its batch, cache, map state and faults, without the doors to it. */
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

/** What happens to the next orders of a name (of any name if none is given). */
export interface OrderFault {
  fault: 'drop' | 'lose-answer' | 'twice' | 'hold';
  name?: string;
  count: number;
}

/** Faults of one engine, all off by default. */
export interface EngineFaults {
  /** Takes connections, answers nothing and makes no step. */
  frozen: boolean;
  /** Speed by rank; 1 is usual, 0.5 takes twice the time. */
  speeds: number[];
  /** Refuses orders with an old fence. */
  checksFence: boolean;
  /** What `GET /group` shows: the state now, as its last live report was, or nothing (503). */
  groupReport: 'live' | 'stale' | 'missing';
  /** Each step's time varies by up to this share. */
  timeNoise: number;
  /** Share of cache events that are lost. */
  eventDropShare: number;
  healthy: boolean;
  /** Completions answer 503 without running. */
  refuses: boolean;
  /** The next `count` streams are reset after so many tokens. */
  breakStreams: { count: number; afterTokens: number };
  orders: OrderFault[];
}

/** How often things happened in one engine. */
export interface EngineCounts {
  started: number;
  finished: number;
  cancelled: number;
  tokens: number;
  /** Orders that a `hold` fault keeps back now. */
  heldOrders: number;
  orders: Record<string, number>;
  refusedOrders: Record<string, number>;
}

/** Options that all engines of a process share. */
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

/** Load as `GET /metrics` reports it. */
export interface EngineLoad {
  running: number;
  waiting: number;
  cacheUsage: number;
}

/** What a crash loses. */
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
  /** The ranks it runs. */
  readonly ranks: number[];
  readonly faults: EngineFaults;
  readonly counts: EngineCounts;
  /** Generations started, by completion id (which follows from the prompt). */
  readonly starts: Map<string, number>;
  /** Tokens that each rank computed, by rank, layer and expert. */
  readonly tokensByExpert: Float64Array[][];
  /** Time of each rank in the last step, in microseconds. */
  readonly rankUs: number[];
  memory: EngineMemory;
  alive: boolean;
  /** Held orders go on when this is notified. */
  readonly ordersReleased: Signal;
  /** Loses all memory, as a crash does. */
  wipe(): void;
}

/** Creates an engine with an empty memory. */
export const createEngine = (
  index: number,
  ranks: number[],
  shape: { layers: number; experts: number },
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
      Array.from({ length: shape.layers }, () => new Float64Array(shape.experts)),
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
