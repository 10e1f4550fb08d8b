import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import type { PeerPush } from '@plantaindrum/mirror';
import {
  createPlacementCache,
  encodeMapDelta,
  encodeFullMap,
} from '../src/links/placement-cache.js';
import type { RankMember } from '../src/rank-member.js';
import { createRankMethods } from '../src/tree/rank-methods.js';
import type { OrderOutcome, RankOrder, RankReport } from '../src/index.js';

const start = (outcomes: OrderOutcome[] = []) => {
  const orders: RankOrder[] = [];
  const pushes: PeerPush[] = [];
  const clock = createManualClock();
  const member = {
    lastReport: () => ({ rank: 3 }) as RankReport,
    order: async (order: RankOrder) => {
      orders.push(order);
      return outcomes.shift() ?? 'done';
    },
  } as unknown as RankMember;
  const placementCache = createPlacementCache();
  const methods = createRankMethods({
    member: () => member,
    placementCache,
    onNodes: (push) => pushes.push(push),
    clock,
  });
  return { methods, placementCache, clock, orders, pushes };
};

const placement = [[[0], [1], [2]]];

describe("a rank's part in calls to all ranks", () => {
  it('answers for itself alone', async () => {
    const { methods } = start();
    const order = { op: 'arm', epoch: 1, version: 7, step: 9 };
    expect(await methods.order.run(order, 100)).to.deep.equal({ done: [3] });
    expect(await methods.order.run({ op: 'arm' }, 100)).to.deep.equal({ refused: [3] });
  });

  // Engines leave some orders unanswered. If the coordinator repeated them, each would cost the
  // whole group another round of calls while a pass is held.
  it('gives an order again to an engine that does not answer', async () => {
    const { methods, orders, clock } = start(['no-answer', 'no-answer']);
    const running = methods.order.run({ op: 'go', epoch: 1, step: 9 }, 100);
    for (let ms = 0; ms < 100; ms += 5) await clock.advance(5);
    expect(await running).to.deep.equal({ done: [3] });
    expect(orders.length).to.equal(3);
  });

  it('prepares a map sent as a delta once it knows the base', async () => {
    const { methods, orders } = start();
    const next = [[[0], [1, 0], [2]]];
    const args = { epoch: 1, version: 8, map: encodeMapDelta(7, placement, next) };
    expect(await methods.prepare.run(args, 100)).to.deep.equal({ 'unknown-base': [3] });
    const base = { epoch: 1, version: 7, map: encodeFullMap(placement) };
    expect(await methods['map-in-use'].run(base, 100)).to.deep.equal({ done: [3] });
    expect(await methods.prepare.run(args, 100)).to.deep.equal({ done: [3] });
    expect(orders).to.deep.equal([{ op: 'prepare', epoch: 1, version: 8, placement: next }]);
  });

  it('accepts node records that another agent has read', async () => {
    const { methods, pushes } = start();
    const records = [{ key: 'n', offset: 4, value: Uint8Array.of(1) }];
    const push = { after: 4, end: 5, generation: 1, records };
    expect(await methods.nodes.run(push, 100)).to.deep.equal({ done: [3] });
    expect(await methods.nodes.run({ after: 4, end: 5, records }, 100)).to.deep.equal({
      refused: [3],
    });
    expect(await methods.nodes.run({ after: 4 }, 100)).to.deep.equal({ refused: [3] });
    expect(pushes).to.deep.equal([push]);
  });
});
