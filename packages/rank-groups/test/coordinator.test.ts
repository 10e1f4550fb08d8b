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
/** All work goes to the expert of rank 1, so that a plan shares it out. */
const PICKS = [0, 400, 0, 0];

interface Played {
  clock: ManualClock;
  group: FakeRanks;
  /** VMs that stand still: their engines can't be reached. */
  frozen: Set<number>;
  coordinator: Coordinator;
  /** How often what ranks hold was read. */
  reads(): number;
  /** Lets time and passes go on; the longest time without a new pass, in ms. */
  run(ms: number): Promise<number>;
}

const start = (more: Partial<CoordinatorOptions> = {}): Played => {
  const clock = createManualClock();
  const group = createFakeRanks({ size: RANKS, clock, fate: () => 'slow', lateMs: ORDER_MS });
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
      noteMapInUse: () => {},
    },
    ownRank: 0,
    shape,
    weighs: 'skew',
    isLowest: () => true,
    untilLowest: async () => {},
    knownPlacement: () => undefined,
    newsEveryMs: () => 2 * UPDATE_MS,
    orderOwnFromAfar: () => undefined,
    clock,
    random: createSeededRandom(3),
    metrics: createMetrics(),
    log: silentEventLog,
    ...more,
  });
  const tell = (): void => {
    for (let rank = 0; rank < RANKS; rank += 1) {
      if (!frozen.has(rank)) coordinator.onUpdate({ report: group.report(rank), picks: PICKS });
    }
  };
  const run = async (ms: number): Promise<number> => {
    let longest = 0;
    let began = clock.monotonic();
    let step = group.step();
    for (const end = began + ms; clock.monotonic() < end;) {
      tell();
      await clock.advance(UPDATE_MS);
      if (clock.monotonic() % PASS_MS === 0) group.pass();
      if (group.step() !== step) began = clock.monotonic();
      step = group.step();
      longest = Math.max(longest, clock.monotonic() - began);
    }
    return longest;
  };
  return { clock, group, frozen, coordinator, reads: () => reads, run };
};

describe('coordinating a group', () => {
  it('changes the map for what is popular', async () => {
    const played = start();
    await played.run(3_000);
    expect(played.group.report(0).map).to.be.greaterThan(0);
    expect(played.group.mixed()).to.deep.equal([]);
    played.coordinator.close();
  });

  // Callers' streams stand still while a pass is held. The VM whose agent gave the hold freezes as
  // the engine accepts it, and its answer never comes; its own rank can't be reached either. The
  // coordinator has armed nobody and lets the pass begin.
  it('goes on at once when the VM that gave the hold freezes', async () => {
    let gaveHold = false;
    const played: Played = start({
      orderOwnFromAfar: async (order): Promise<OrderOutcome> => {
        await played.group.port(() => true).order(0, order);
        gaveHold = true;
        played.frozen.add(RANKS - 1);
        return 'no-answer';
      },
    });
    const longest = await played.run(4_000);
    expect(gaveHold).to.equal(true);
    expect(longest).to.be.below(4 * PASS_MS);
    expect(played.group.report(0).held).to.equal(undefined);
    expect(played.group.mixed()).to.deep.equal([]);
    played.coordinator.close();
  });

  // The same, but the helper's answer still comes: it freezes 4 ms later. Were the other ranks armed
  // by then, the pass would have to wait for the one rank of which nothing can be known.
  it('goes on at once when that VM freezes right after its answer', async () => {
    const played: Played = start({
      orderOwnFromAfar: (order) => {
        played.clock.after(4, () => played.frozen.add(RANKS - 1));
        return played.group.port(() => true).order(0, order);
      },
    });
    const longest = await played.run(4_000);
    expect(played.frozen.size).to.equal(1);
    expect(longest).to.be.below(4 * PASS_MS);
    expect(played.group.mixed()).to.deep.equal([]);
    played.coordinator.close();
  });

  // The agent that coordinates dies as popularity shifts. Its successor has been told what was counted and which map
  // is in use; did it begin with nothing, streams would be late until it has read both.
  it('changes the map at once as a successor, without reading it', async () => {
    let isLowest = false;
    const played = start({
      isLowest: () => isLowest,
      knownPlacement: () => [[[0], [1], [2], [3]]],
    });
    await played.run(1_000);
    expect(played.group.report(0).map).to.equal(0);
    isLowest = true;
    await played.run(500);
    expect(played.group.report(0).map).to.be.greaterThan(0);
    expect(played.reads()).to.equal(0);
    played.coordinator.close();
  });

  // The helper can't reach the coordinator's engine: its way there is cut, or it knows an old address.
  // No change would ever come about again, and streams would grow late with the first shift.
  it('changes the map although no helper gets through', async () => {
    const played = start({ orderOwnFromAfar: async (): Promise<OrderOutcome> => 'no-answer' });
    await played.run(4_000);
    expect(played.group.report(0).map).to.be.greaterThan(0);
    played.coordinator.close();
  });

  // An agent died after it had held a pass and before any rank was armed. Its successor has never
  // seen the map in use, which it has to prepare anew to withdraw the change; it reads it first.
  it('lets a pass begin that a dead coordinator held, all prepared and none armed', async () => {
    const played = start();
    const port = played.group.port(() => true);
    const placement = [[[0], [1], [2], [3]]];
    [0, 1, 2, 3].forEach((rank) => {
      void port.order(rank, { op: 'prepare', epoch: 1, version: 70_000, placement });
    });
    void port.order(2, { op: 'hold', epoch: 1, step: played.group.step() + 2 });
    await played.clock.advance(PASS_MS);
    expect(played.group.report(2).held).to.equal(played.group.step() + 2);
    const longest = await played.run(2_000);
    expect(longest).to.be.below(1_000);
    expect(played.group.mixed()).to.deep.equal([]);
    played.coordinator.close();
  });
});
