import { expect } from 'chai';
import fc from 'fast-check';
import { createManualClock } from '@plantaindrum/common';
import { createAgentQueue } from '../src/queue/agent-queue.js';
import type { AgentQueueOptions } from '../src/queue/agent-queue.js';
import type { QueueItem } from '../src/queue/types.js';

let serial = 0;
const itemOf = (change: Partial<QueueItem> = {}): QueueItem => {
  serial += 1;
  return {
    id: `i${serial}`,
    organisation: 'a',
    class: 'c',
    lane: 'normal',
    cost: 1,
    deadline: 1_000_000,
    ...change,
  };
};

const queueWith = (change: Partial<AgentQueueOptions> = {}) => {
  const clock = createManualClock();
  const options = { clock, random: () => 0, capacity: 100, concurrency: 1, ...change };
  return { clock, queue: createAgentQueue<QueueItem>(options) };
};

type Queue = ReturnType<typeof queueWith>['queue'];

const takeAll = (queue: Queue) => {
  const taken: QueueItem[] = [];
  for (let item = queue.take(); item; item = queue.take()) taken.push(item);
  return taken;
};

/** Serves items of cost 1 one by one, `ms` each, so that the drain rate is known. */
const warmUp = async ({ clock, queue }: ReturnType<typeof queueWith>, ms: number) => {
  for (let n = 0; n < 5; n += 1) queue.offer(itemOf());
  for (let item = queue.take(); item; item = queue.take()) {
    await clock.advance(ms);
    queue.recordEnd(item.id);
  }
};

describe('agent queue', () => {
  it('serves the live lane first, and the earliest deadline within an organisation', () => {
    const { queue } = queueWith();
    const offers: Partial<QueueItem>[] = [
      { lane: 'background', deadline: 1 },
      { lane: 'normal', deadline: 30 },
      { lane: 'normal', deadline: 20 },
      { lane: 'live', deadline: 90 },
    ];
    offers.forEach((offer) => queue.offer(itemOf(offer)));
    const order = takeAll(queue).map((item) => `${item.lane} ${item.deadline}`);
    expect(order).to.deep.equal(['live 90', 'normal 20', 'normal 30', 'background 1']);
  });

  it('shares by cost, not by number of requests', () => {
    const { queue } = queueWith();
    for (let n = 0; n < 60; n += 1) queue.offer(itemOf({ organisation: 'short', cost: 1 }));
    for (let n = 0; n < 20; n += 1) queue.offer(itemOf({ organisation: 'long', cost: 5 }));
    const cost = { short: 0, long: 0 };
    for (let n = 0; n < 48; n += 1) {
      const item = queue.take()!;
      cost[item.organisation as 'short' | 'long'] += item.cost;
    }
    expect(cost.short / cost.long).to.be.within(0.8, 1.25);
  });

  // An organisation floods the queue. The request of a small one must still be admitted and served
  // after one round: its expected wait depends on its own share, not on the whole queue.
  it('refuses the flooding organisation, not the others', async () => {
    const fixture = queueWith();
    await warmUp(fixture, 100);
    const now = fixture.clock.monotonic();
    const flood = Array.from({ length: 30 }, () =>
      fixture.queue.offer(itemOf({ organisation: 'flood', deadline: now + 1000 })),
    );
    const small = fixture.queue.offer(itemOf({ organisation: 'small', deadline: now + 1000 }));
    expect(flood.filter((offer) => offer.admitted)).to.have.length(10);
    expect(flood.at(-1)!.rejected[0]).to.include({
      reason: 'deadline-unreachable',
      retryAfterMs: 100,
    });
    expect(small.admitted).to.equal(true);
    fixture.queue.take();
    expect(fixture.queue.take()!.organisation).to.equal('small');
  });

  // An organisation floods the live lane beyond the upstream's capacity. Without fair shares its
  // live work would block the background work of all others for good. Once work has to be rejected,
  // the flooding organisation comes after the others.
  it('lets a flood of live work delay only the organisation that sends it', async () => {
    const fixture = queueWith();
    await warmUp(fixture, 100);
    const served = { flood: 0, small: 0 };
    for (let second = 0; second < 20; second += 1) {
      const now = fixture.clock.monotonic();
      const flood = { organisation: 'flood', lane: 'live' as const, deadline: now + 1_000 };
      for (let n = 0; n < 20; n += 1) fixture.queue.offer(itemOf(flood));
      const small = { organisation: 'small', lane: 'background' as const, deadline: now + 3_000 };
      fixture.queue.offer(itemOf(small));
      for (let n = 0; n < 10; n += 1) {
        const item = fixture.queue.take();
        await fixture.clock.advance(100);
        if (!item) continue;
        served[item.organisation as 'flood' | 'small'] += 1;
        fixture.queue.recordEnd(item.id);
      }
      fixture.queue.sweep();
    }
    expect(served.small).to.be.at.least(16);
    expect(served.flood + served.small).to.be.at.least(180);
  });

  it('displaces the least urgent work, and within a lane only the largest backlog', () => {
    const { queue } = queueWith({ capacity: 4 });
    queue.offer(itemOf({ id: 'b1', lane: 'background' }));
    queue.offer(itemOf({ id: 'f1', organisation: 'flood' }));
    queue.offer(itemOf({ id: 'f2', organisation: 'flood' }));
    queue.offer(itemOf({ id: 'f3', organisation: 'flood' }));
    const displaced = ['small', 'small', 'flood', 'small'].map((organisation, n) => {
      const { admitted, rejected } = queue.offer(itemOf({ id: `n${n}`, organisation }));
      return [admitted, rejected[0]!.item.id, rejected[0]!.reason];
    });
    expect(displaced).to.deep.equal([
      [true, 'b1', 'displaced'],
      [true, 'f3', 'displaced'],
      [false, 'n2', 'queue-full'],
      [false, 'n3', 'queue-full'],
    ]);
  });

  // The upstream takes 300 ms to the first byte. Work that could only start 200 ms before its
  // deadline would be answered late, so it is rejected on arrival.
  it('reserves the time that the upstream takes to the first byte', async () => {
    const fixture = queueWith();
    for (let n = 0; n < 5; n += 1) {
      fixture.queue.offer(itemOf());
      const item = fixture.queue.take()!;
      await fixture.clock.advance(300);
      fixture.queue.recordFirstByte(item.id);
      fixture.queue.recordEnd(item.id);
    }
    const now = fixture.clock.monotonic();
    fixture.queue.offer(itemOf());
    fixture.queue.take();
    const offers = [450, 700].map(
      (ms) => fixture.queue.offer(itemOf({ deadline: now + ms })).admitted,
    );
    expect(offers).to.deep.equal([false, true]);
  });

  // An upstream that was slower than the target must still get some work. If all were rejected, its
  // measured time would never be updated.
  it('admits work for an upstream that was slower than the target', async () => {
    const fixture = queueWith();
    fixture.queue.offer(itemOf());
    const slow = fixture.queue.take()!;
    await fixture.clock.advance(60_000);
    fixture.queue.recordFirstByte(slow.id);
    fixture.queue.recordEnd(slow.id);
    const deadline = fixture.clock.monotonic() + 1_000;
    expect(fixture.queue.offer(itemOf({ deadline })).admitted).to.equal(true);
  });

  it('rejects waiting work as soon as the upstream has become too slow', async () => {
    const fixture = queueWith();
    await warmUp(fixture, 10);
    const deadline = fixture.clock.monotonic() + 500;
    for (let n = 0; n < 40; n += 1) fixture.queue.offer(itemOf({ deadline }));
    expect(fixture.queue.sweep()).to.have.length(0);
    for (let n = 0; n < 2; n += 1) {
      const item = fixture.queue.take()!;
      await fixture.clock.advance(200);
      fixture.queue.recordEnd(item.id);
    }
    const rejected = fixture.queue.sweep();
    expect(new Set(rejected.map(({ reason }) => reason))).to.deep.equal(
      new Set(['deadline-unreachable']),
    );
    expect(rejected.length).to.be.within(20, 38);
  });

  // The first rejection of a sweep starts an overload, which moves an organisation to the ranks of
  // those over their share. A sweep that visited it again there would reject its items twice.
  it('rejects each item of a sweep once, even when the sweep starts an overload', async () => {
    const fixture = queueWith();
    for (let n = 0; n < 12; n += 1) fixture.queue.offer(itemOf({ organisation: 'flood' }));
    fixture.queue.offer(itemOf({ organisation: 'small' }));
    for (let item = fixture.queue.take(); item; item = fixture.queue.take()) {
      await fixture.clock.advance(100);
      fixture.queue.recordEnd(item.id);
    }
    const deadline = fixture.clock.monotonic() + 400;
    for (let n = 0; n < 3; n += 1) {
      fixture.queue.offer(itemOf({ organisation: 'flood', lane: 'live', deadline }));
    }
    await fixture.clock.advance(500);
    expect(fixture.queue.sweep()).to.have.length(3);
    expect(fixture.queue.load().queued).to.equal(0);
  });

  // The engine freezes while its agent works. Nothing ends any more, so the last measured rate is
  // wrong. Callers must be refused well before their deadline, with a bounded Retry-After.
  it('refuses work early when the upstream has stopped finishing requests', async () => {
    const fixture = queueWith();
    await warmUp(fixture, 100);
    for (let n = 0; n < 10; n += 1) fixture.queue.offer(itemOf());
    for (let n = 0; n < 5; n += 1) {
      const item = fixture.queue.take()!;
      await fixture.clock.advance(100);
      fixture.queue.recordEnd(item.id);
    }
    fixture.queue.take();
    const offer = () =>
      fixture.queue.offer(itemOf({ deadline: fixture.clock.monotonic() + 1_500 }));
    expect(offer().admitted).to.equal(true);
    await fixture.clock.advance(1_000);
    expect(fixture.queue.sweep()).to.have.length(1);
    await fixture.clock.advance(4_000);
    const refused = offer();
    expect(refused.rejected[0]).to.include({ reason: 'deadline-unreachable' });
    expect(refused.rejected[0]!.retryAfterMs).to.be.at.most(60_000);
  });

  it('rejects every expired or leaving item once', async () => {
    const { clock, queue } = queueWith();
    queue.offer(itemOf({ id: 'late', deadline: 5 }));
    queue.offer(itemOf({ id: 'waits' }));
    queue.offer(itemOf({ id: 'gone' }));
    expect(queue.cancel('gone')!.id).to.equal('gone');
    await clock.advance(10);
    const rejected = [...queue.sweep(), ...queue.shutDown(), ...queue.shutDown()];
    expect(rejected.map(({ item, reason }) => `${item.id} ${reason}`)).to.deep.equal([
      'late deadline-passed',
      'waits leaving',
    ]);
    expect(queue.offer(itemOf()).rejected[0]!.reason).to.equal('leaving');
  });

  it('neither loses nor duplicates an item for any order of calls', () => {
    const call = fc.record({
      kind: fc.constantFrom('offer', 'offer', 'offer', 'take', 'cancel', 'sweep', 'advance'),
      organisation: fc.constantFrom('a', 'b', 'c'),
      lane: fc.constantFrom('live' as const, 'normal' as const, 'background' as const),
      cost: fc.integer({ min: 1, max: 50 }),
      deadline: fc.integer({ min: 1, max: 400 }),
    });
    const property = fc.property(fc.array(call, { maxLength: 80 }), (calls) => {
      let time = 0;
      const clock = { now: () => time, monotonic: () => time, after: () => () => {} };
      const queue = queueWith({ clock, capacity: 8, concurrency: 2 }).queue;
      const seen = new Map<string, number>();
      const offered: string[] = [];
      const leave = (id: string) => seen.set(id, (seen.get(id) ?? 0) + 1);
      calls.forEach(({ kind, ...change }) => {
        if (kind === 'offer') {
          const item = itemOf({ ...change, class: change.lane, deadline: time + change.deadline });
          offered.push(item.id);
          queue.offer(item).rejected.forEach((rejected) => leave(rejected.item.id));
        }
        if (kind === 'take') {
          const item = queue.take();
          if (item) leave(item.id);
          if (item && change.cost % 2) queue.recordEnd(item.id);
        }
        if (kind === 'cancel') {
          const item = queue.cancel(offered[change.cost % offered.length] ?? '');
          if (item) leave(item.id);
        }
        if (kind === 'sweep') queue.sweep().forEach((rejected) => leave(rejected.item.id));
        if (kind === 'advance') time += change.deadline;
      });
      queue.shutDown().forEach((rejected) => leave(rejected.item.id));
      offered.forEach((id) => expect(seen.get(id), id).to.equal(1));
      expect(queue.load().queued).to.equal(0);
    });
    fc.assert(property, { seed: 4, numRuns: 1000 });
  });
});
