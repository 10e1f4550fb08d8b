import { createManualClock, createMetrics, silentLogger } from '@plantaindrum/common';
import type { Metrics } from '@plantaindrum/common';
import type { Log } from '@plantaindrum/service-clients';
import { createMemoryLog } from '@plantaindrum/stand-ins';
import { createCoordinator, createGroupMember } from '../../src/index.js';
import type {
  Coordinator,
  ExpertMethod,
  GroupMember,
  GroupTimings,
  RebalancingPriority,
} from '../../src/index.js';
import { createFakeEngines } from './fake-engines.js';
import type { FakeEnginesOptions } from './fake-engines.js';
import { createFakeNetwork } from './fake-network.js';
import { createFakeProcess } from './fake-process.js';
import type { FakeProcess } from './fake-process.js';

/** Short timings, so that a complete change takes less than a second of the manual clock. */
const TIMINGS: Partial<GroupTimings> = {
  heartbeatMs: 40,
  takeoverMs: 200,
  askAfterMs: 10,
  callMs: 50,
  prepareCallMs: 100,
  prepareMs: 1_000,
  watchMs: 100,
  planMs: 200,
};

/** Options of `createFakeGroup`. */
export interface FakeGroupOptions {
  ranks?: number;
  checksFence?: boolean;
  seed?: number;
  onOrder?: FakeEnginesOptions['onOrder'];
  weighs?: RebalancingPriority;
  mayMove?: () => boolean;
}

/** An agent of a fake group. */
export interface FakeAgent {
  process: FakeProcess;
  member: GroupMember;
  coordinator: Coordinator;
}

/** Creates a linear congruential generator, which gives the same numbers in every run. */
export const createSeededRandom = (seed: number) => {
  let state = seed;
  return (): number => {
    state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296;
    return state / 4_294_967_296;
  };
};

/**
 * Creates a group in memory: one-rank engines, each with an agent that has a member and a
 * coordinator.
 */
export const createFakeGroup = (options: FakeGroupOptions = {}) => {
  const rankCount = options.ranks ?? 3;
  const layout = { rankCount, layers: 2, experts: 6, slots: 4, bytesPerExpert: 1 };
  const clock = createManualClock();
  const random = createSeededRandom(options.seed ?? 1);
  const metrics: Metrics = createMetrics();
  const network = createFakeNetwork(clock);
  const fakeLog = createMemoryLog();
  const logClient = fakeLog.client();
  const { oracle, engines, start } = createFakeEngines({
    clock,
    ranks: rankCount,
    layers: layout.layers,
    experts: layout.experts,
    checksFence: options.checksFence ?? true,
    stepMs: 5,
    popularity: (layer, expert) => (expert === layer ? 400 : 100),
    ...(options.onOrder && { onOrder: options.onOrder }),
  });
  const names = engines.map(({ rank }) => `vm-${rank}`);
  const agents: FakeAgent[] = [];
  let instances = 0;

  const createGatedLog = (process: FakeProcess): Log => ({
    append: (...args) => process.gate(logClient.append(...args)),
    read: (...args) => process.gate(logClient.read(...args)),
    offsets: (...args) => process.gate(logClient.offsets(...args)),
  });

  /** Starts an agent with empty memory; the earlier one on this VM must have exited. */
  const startAgent = (rank: number): void => {
    const engine = engines[rank];
    const node = names[rank];
    if (!engine || !node) throw new RangeError(`no rank ${rank}`);
    const process = createFakeProcess(clock);
    const port = engine.connect();
    instances += 1;
    const shared = {
      group: 'g',
      node,
      instance: `i${instances}`,
      members: () => names.map((name, at) => ({ node: name, ranks: [at] })),
      call: (to: string, method: ExpertMethod, args: unknown, timeoutMs: number) =>
        process.gate(network.call(node, to, method, args, timeoutMs)),
      log: createGatedLog(process),
      clock: process.clock,
      random,
      metrics,
      logger: silentLogger,
      timings: TIMINGS,
    };
    const member = createGroupMember({
      ...shared,
      ranks: [rank],
      rankCount,
      engine: {
        order: (name, body) => process.gate(port.order(name, body)),
        state: () => process.gate(port.state()),
      },
    });
    const coordinator = createCoordinator({
      ...shared,
      member,
      layout,
      weighs: () => options.weighs ?? 'skew',
      mayMove: options.mayMove ?? (() => true),
    });
    network.join(node, { process, serve: member.serve });
    agents[rank] = { process, member, coordinator };
    void member.run();
    void coordinator.run();
  };

  engines.forEach(({ rank }) => startAgent(rank));
  start();

  const acting = (): number[] =>
    agents.flatMap(({ process, coordinator }, rank) =>
      process.isAlive() && coordinator.status().role === 'acting' ? [rank] : [],
    );

  return {
    clock,
    layout,
    metrics,
    network,
    fakeLog,
    oracle,
    engines,
    agents,
    names,
    startAgent,
    /** Replaces the VM of a rank by a blank one with another name; the old one may still run. */
    replaceVm: (rank: number): void => {
      engines[rank]?.replace();
      names[rank] = `${names[rank]}-new`;
      startAgent(rank);
    },
    /** Ranks whose agents act as coordinator. */
    acting,
    agent: (rank: number): FakeAgent => {
      const agent = agents[rank];
      if (!agent) throw new RangeError(`no rank ${rank}`);
      return agent;
    },
    /** Advances the clock until `holds` returns true; throws after `limitMs`. */
    until: async (holds: () => boolean, limitMs = 20_000): Promise<void> => {
      const end = clock.monotonic() + limitMs;
      while (!holds()) {
        if (clock.monotonic() >= end) throw new Error('not reached in time');
        await clock.advance(5);
      }
    },
  };
};

/** A group in memory. */
export type FakeGroup = ReturnType<typeof createFakeGroup>;
