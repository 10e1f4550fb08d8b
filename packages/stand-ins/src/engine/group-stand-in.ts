/**
 * A group of engines in one process: each has its own HTTP server, and all run every step together.
 */

import { createSeededRandom, systemClock } from '@plantaindrum/common';
import type { StandInServer } from '../http.js';
import { listen } from '../http.js';
import { createSignal } from '../signal.js';
import { createControlHandler } from './control.js';
import type { Engine, EngineFaults } from './engine.js';
import { createEngine } from './engine.js';
import { createEngineHandler } from './engine-server.js';
import { createRoundRobinMap } from './expert-map.js';
import type { EngineGroupStandIn, EngineGroupStandInOptions, EngineView } from './group-types.js';
import { createOracle } from './oracle.js';
import { applyOrder } from './orders.js';
import { createPopularity } from './popularity.js';
import { createStepper } from './stepper.js';

const DEFAULTS = {
  engines: 1,
  ranksPerEngine: 1,
  lockStep: true,
  formed: true,
  group: 'group-1',
  model: 'stand-in',
  layers: 2,
  experts: 64,
  seed: 1,
  stepMs: 5,
  baseTokensPerRank: 256,
  checksFence: true,
  maxRunning: 16,
  prefillTokensPerStep: 512,
  cacheBlocks: 4096,
  eventLagMs: 200,
  eventDropShare: 0.05,
  metricsLagMs: 1000,
};

/** Starts an engine group; `control.ts` describes its control API. */
export const createEngineGroupStandIn = async (
  options: EngineGroupStandInOptions = {},
): Promise<EngineGroupStandIn> => {
  const cfg = { ...DEFAULTS, clock: systemClock, ...options };
  const random = createSeededRandom(cfg.seed);
  const popularity = createPopularity(cfg.layers, cfg.experts, cfg.seed);
  const oracle = createOracle();
  const changed = createSignal();
  const progressed = createSignal();
  const ranksOf = (index: number): number[] =>
    Array.from(
      { length: cfg.ranksPerEngine },
      (_, at) => (cfg.lockStep ? index * cfg.ranksPerEngine : 0) + at,
    );
  const engines = Array.from({ length: cfg.engines }, (_, index) =>
    createEngine(index, ranksOf(index), cfg, { ...cfg, random }, progressed.notify),
  );
  const stepper = createStepper({
    engines,
    clock: cfg.clock,
    random: createSeededRandom(cfg.seed + 1),
    popularity,
    oracle,
    stepUs: cfg.stepMs * 1000,
    baseTokensPerRank: cfg.baseTokensPerRank,
    changed,
    onStep: progressed.notify,
  });
  const handlers = engines.map((engine) =>
    createEngineHandler(engine, stepper, changed, progressed.notify),
  );
  const listenAt = (index: number, port: number): Promise<StandInServer> =>
    listen(handlers[index] ?? (() => {}), port);
  const servers = await Promise.all(
    engines.map((engine) => listenAt(engine.index, cfg.ports?.[engine.index] ?? 0)),
  );
  const urls = servers.map((server) => server.url);

  const engineAt = (index: number): Engine => {
    const engine = engines[index];
    if (!engine) throw new Error(`no engine ${index}`);
    return engine;
  };

  const notifyAll = (): void => {
    changed.notify();
    progressed.notify();
  };

  const setFaults = (index: number, change: Partial<EngineFaults>): void => {
    const engine = engineAt(index);
    Object.assign(engine.faults, change);
    engine.memory.cache.setDropShare(engine.faults.eventDropShare);
    notifyAll();
  };

  const kill = async (index: number): Promise<void> => {
    const engine = engineAt(index);
    engine.alive = false;
    const closed = servers[index]?.close();
    engine.wipe();
    notifyAll();
    await closed;
  };

  const restart = async (index: number): Promise<void> => {
    const engine = engineAt(index);
    servers[index] = await listenAt(index, servers[index]?.port ?? 0);
    engine.alive = true;
    notifyAll();
  };

  const formInitialGroups = (): void => {
    const rankCount = cfg.ranksPerEngine * (cfg.lockStep ? cfg.engines : 1);
    const map = createRoundRobinMap(1, cfg.layers, cfg.experts, rankCount);
    engines.forEach((engine) => {
      const group = cfg.lockStep ? cfg.group : `${cfg.group}-${engine.index}`;
      applyOrder(engine.memory.state, 'form_group', {
        fence: 0,
        group,
        rank_count: rankCount,
        version: 1,
        map,
      });
    });
    engines.forEach((engine) => stepper.join(engine));
  };

  const viewOf = (engine: Engine): EngineView => ({
    ...structuredClone(engine.counts),
    ...engine.memory.batch.counts(),
    ...engine.memory.cache.stats(),
    cacheUsage: engine.memory.cache.usage(),
    url: urls[engine.index] ?? '',
    alive: engine.alive,
    frozen: engine.faults.frozen,
    role: engine.memory.role,
    weights: engine.memory.weights.stats(),
  });

  const standIn = {
    engines: urls,
    setFaults,
    kill,
    restart,
    releaseOrders: (index: number) => {
      engineAt(index).ordersReleased.notify();
    },
    movePopularity: popularity.setMotion,
    oracle: oracle.report,
    resetOracle: oracle.reset,
    views: () => engines.map(viewOf),
    starts: () => {
      const sums: Record<string, number> = {};
      engines.forEach((engine) =>
        engine.starts.forEach((count, id) => {
          sums[id] = (sums[id] ?? 0) + count;
        }),
      );
      return sums;
    },
    waitFor: async (predicate: () => boolean) => {
      while (!predicate()) await progressed.wait();
    },
  };
  const control = await listen(createControlHandler(standIn), cfg.controlPort ?? 0);
  if (cfg.formed) formInitialGroups();

  return {
    ...standIn,
    control: control.url,
    close: async () => {
      stepper.close();
      engines.forEach((engine) => engine.memory.weights.close());
      await Promise.all([...servers, control].map((server) => server.close()));
    },
  };
};
