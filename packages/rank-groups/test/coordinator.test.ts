import { expect } from 'chai';
import {
  createManualClock,
  createMetrics,
  createSeededRandom,
  silentEventLog,
} from '@plantaindrum/common';
import type { ManualClock } from '@plantaindrum/common';
import { createCoordinator } from '../src/index.js';
import type { Coordinator, CoordinatorOptions, GroupShape, OrderOutcome } from '../src/index.js';
import { createFakeRanks } from './fakes/fake-ranks.js';
import type { FakeRanks } from './fakes/fake-ranks.js';

const RANKS = 4;
const PASS_MS = 80;
const UPDATE_MS = 40;
const ORDER_MS = 6;
const shape: GroupShape = { sets: 1, experts: RANKS, places: 2, spare: 1, copyMs: 20 };
/** All selections go to the expert of rank 1, so that a plan spreads its load. */
const PICKS = [0, 400, 0, 0];

interface Setup {
  clock: ManualClock;
  group: FakeRanks;
  /** Ranks whose VMs are frozen: their engines can't be reached. */
  frozen: Set<number>;
  coordinator: Coordinator;
  /** Number of times the ranks' experts were queried. */
  reads(): number;
  /** Advances time and passes; resolves with the longest time without a new pass, in ms. */
  run(ms: number): Promise<number>;
}

const start = (overrides: Partial<CoordinatorOptions> = {}): Setup => {
  const clock = createManualClock();
  const group = createFakeRanks({ size: RANKS, clock, fault: () => 'slow', lateMs: ORDER_MS });
  const frozen = new Set<number>();
  let reads = 0;
  const port = group.port(
    () => true,
    (rank) => !frozen.has(rank),
  );
  const coordinator = createCoordinator({
    port: {
      ...port,
      placements: async (ranks) => {
        reads += 1;
        const there = ranks.filter((rank) => !frozen.has(rank));
        return new Map(there.map((rank) => [rank, group.placement(rank)] as const));
      },
      publishMapInUse: () => {},
    },
    ownRank: 0,
    shape,
    weighs: 'skew',
    isLowest: () => true,
    whenLowest: async () => {},
    cachedPlacement: () => undefined,
    telemetryIntervalMs: () => 2 * UPDATE_MS,
    orderOwnRankViaPeer: () => undefined,
    clock,
    random: createSeededRandom(3),
    metrics: createMetrics(),
    log: silentEventLog,
    ...overrides,
  });
  const sendUpdates = (): void => {
    for (let rank = 0; rank < RANKS; rank += 1) {
      if (!frozen.has(rank)) coordinator.onUpdate({ report: group.report(rank), counts: PICKS });
    }
  };
  const run = async (ms: number): Promise<number> => {
    let longest = 0;
    let startedAt = clock.monotonic();
    let step = group.step();
    for (const end = startedAt + ms; clock.monotonic() < end;) {
      sendUpdates();
      await clock.advance(UPDATE_MS);
      if (clock.monotonic() % PASS_MS === 0) group.beginPass();
      if (group.step() !== step) startedAt = clock.monotonic();
      step = group.step();
      longest = Math.max(longest, clock.monotonic() - startedAt);
    }
    return longest;
  };
  return { clock, group, frozen, coordinator, reads: () => reads, run };
};

describe('coordinating a group', () => {
  it('changes the map to follow the popularity of experts', async () => {
    const setup = start();
    await setup.run(3_000);
    expect(setup.group.report(0).map).to.be.greaterThan(0);
    expect(setup.group.mixed()).to.deep.equal([]);
    setup.coordinator.close();
  });

  // Callers' streams stall while a pass is held. The VM whose agent sent the hold freezes as the
  // engine accepts it: its answer is lost, and its own rank can't be reached either. The
  // coordinator has armed no rank, so it can release the pass.
  it('continues at once when the VM that sent the hold freezes', async () => {
    let gaveHold = false;
    const setup: Setup = start({
      orderOwnRankViaPeer: async (order): Promise<OrderOutcome> => {
        await setup.group.port(() => true).order(0, order);
        gaveHold = true;
        setup.frozen.add(RANKS - 1);
        return 'no-answer';
      },
    });
    const longest = await setup.run(4_000);
    expect(gaveHold).to.equal(true);
    expect(longest).to.be.below(4 * PASS_MS);
    expect(setup.group.report(0).held).to.equal(undefined);
    expect(setup.group.mixed()).to.deep.equal([]);
    setup.coordinator.close();
  });

  // As above, but the other agent's answer arrives, and its VM freezes 4 ms later. If the remaining
  // ranks were already armed, the pass would have to wait for the one rank whose state is unknown.
  it('continues at once when that VM freezes right after its answer', async () => {
    const setup: Setup = start({
      orderOwnRankViaPeer: (order) => {
        setup.clock.after(4, () => setup.frozen.add(RANKS - 1));
        return setup.group.port(() => true).order(0, order);
      },
    });
    const longest = await setup.run(4_000);
    expect(setup.frozen.size).to.equal(1);
    expect(longest).to.be.below(4 * PASS_MS);
    expect(setup.group.mixed()).to.deep.equal([]);
    setup.coordinator.close();
  });

  // The coordinating agent is lost as popularity shifts. Its successor has received the selection
  // counts and the map in use. Without them, streams would be late until it has read both.
  it('changes the map right after a takeover, without reading it', async () => {
    let isLowest = false;
    const setup = start({
      isLowest: () => isLowest,
      cachedPlacement: () => [[[0], [1], [2], [3]]],
    });
    await setup.run(1_000);
    expect(setup.group.report(0).map).to.equal(0);
    isLowest = true;
    await setup.run(500);
    expect(setup.group.report(0).map).to.be.greaterThan(0);
    expect(setup.reads()).to.equal(0);
    setup.coordinator.close();
  });

  // The other agent can't reach the coordinator's engine because the network is cut or its address
  // is outdated. Without a fallback the map would never change again, and streams would be late
  // from the first shift on.
  it('changes the map although no other agent can send the hold', async () => {
    const setup = start({ orderOwnRankViaPeer: async (): Promise<OrderOutcome> => 'no-answer' });
    await setup.run(4_000);
    expect(setup.group.report(0).map).to.be.greaterThan(0);
    setup.coordinator.close();
  });

  // An agent was lost after it had held a pass and before any rank was armed. To abort the change,
  // its successor has to prepare the map in use, which it has never seen and has to read first.
  it('releases a pass held by a lost coordinator when all ranks are prepared and none armed', async () => {
    const setup = start();
    const port = setup.group.port(() => true);
    const placement = [[[0], [1], [2], [3]]];
    [0, 1, 2, 3].forEach((rank) => {
      void port.order(rank, { op: 'prepare', epoch: 1, version: 70_000, placement });
    });
    void port.order(2, { op: 'hold', epoch: 1, step: setup.group.step() + 2 });
    await setup.clock.advance(PASS_MS);
    expect(setup.group.report(2).held).to.equal(setup.group.step() + 2);
    const longest = await setup.run(2_000);
    expect(longest).to.be.below(1_000);
    expect(setup.group.mixed()).to.deep.equal([]);
    setup.coordinator.close();
  });
});
