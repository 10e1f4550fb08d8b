import { expect } from 'chai';
import { createManualClock, silentEventLog } from '@plantaindrum/common';
import { createAdmission } from '../src/admission/admission.js';
import type { AdmissionRequest } from '../src/admission/admission.js';
import { createConnectedEntries } from '../src/mesh/connected-entries.js';
import { createRetryBudget } from '../src/retry/budget.js';
import type { RetryBudget } from '../src/retry/budget.js';
import type { UpstreamRecord } from '../src/index.js';
import { createUpstream } from '../src/upstreams/upstream.js';

const record: UpstreamRecord = {
  instance: 'i',
  startedAt: 0,
  service: 's',
  host: 'h',
  port: 1,
  dataCentre: 'd',
  slots: 10,
  state: 'ready',
  warmupLeftMs: 0,
  sequence: 1,
};
const streamRequest: AdmissionRequest = {
  service: 's',
  targetPauseMs: 100,
  passTimes: undefined,
  maxConnections: 100,
  isReturn: false,
};

describe('retry budget', () => {
  const create = (entries: number) => {
    const clock = createManualClock();
    const limits = { ratio: 0.2, windowMs: 10_000, allowance: 80 };
    const options = { limits: () => limits, entries: () => entries, startedAt: -Infinity, clock };
    return { clock, limits, budget: createRetryBudget(options) };
  };
  const takeAll = (budget: { take(service: string): boolean }): number => {
    let count = 0;
    while (budget.take('s')) count += 1;
    return count;
  };

  // The operators' limit holds for all entries together, so each entry may use only its share. A part of that
  // stays unused to make up for the retries that a killed entry has forgotten.
  it('limits each entry to its share of the allowance', () => {
    expect(takeAll(create(1).budget)).to.equal(56);
    expect(takeAll(create(4).budget)).to.equal(14);
  });

  // A partition splits four entries into two pairs. If each pair used the full allowance, the retries of both would
  // exceed it at the upstreams that they share.
  it('leaves the share of entries behind a partition unused', async () => {
    const clock = createManualClock();
    const connected = createConnectedEntries(clock);
    ['b', 'c', 'd'].forEach(connected.recordLinked);
    ['c', 'd'].forEach(connected.recordLost);
    const limits = { ratio: 0.2, windowMs: 10_000, allowance: 80 };
    const { entries } = connected;
    const options = { limits: () => limits, entries, startedAt: -Infinity, clock };
    expect(takeAll(createRetryBudget(options))).to.equal(14);
    connected.recordLinked('c');
    await clock.advance(60_001);
    expect(takeAll(createRetryBudget(options))).to.equal(18);
  });

  // An entry that starts behind a partition has no link to the others, which are running and use their shares. If it
  // took itself for the only one, it would use the allowance of all of them.
  it('leaves the share of registered entries that it has not reached unused', async () => {
    const clock = createManualClock();
    const connected = createConnectedEntries(clock);
    ['b', 'c', 'd'].forEach(connected.recordRegistered);
    const limits = { ratio: 0.2, windowMs: 10_000, allowance: 80 };
    const { entries } = connected;
    const budget = createRetryBudget({
      limits: () => limits,
      entries,
      startedAt: -Infinity,
      clock,
    });
    expect(takeAll(budget)).to.equal(14);
    ['b', 'c', 'd'].forEach(connected.recordRegistered);
    connected.recordLinked('b');
    await clock.advance(60_001);
    expect(entries()).to.equal(2);
  });

  // A process that starts again does not know which retries the killed one has sent. If each could use the full share at
  // once, and all of the allowance until its links are up, kills in a row would multiply the limit.
  it('keeps the limit of all entries when they are killed several times in one window', async () => {
    const clock = createManualClock();
    const limits = { ratio: 0.2, windowMs: 10_000, allowance: 94 };
    const names = ['a', 'b', 'c', 'd', 'e'];
    const startEntry = (node: string) => {
      const connected = createConnectedEntries(clock);
      const { entries } = connected;
      const linkAll = (): void =>
        names.filter((name) => name !== node).forEach(connected.recordLinked);
      const startedAt = clock.monotonic();
      const options = { limits: () => limits, entries, startedAt, clock };
      return { linkAll, budget: createRetryBudget(options) };
    };
    const retriesAt: number[] = [];
    let running = names.map(startEntry);
    const runFor = async (ms: number, requestsPerS: number): Promise<void> => {
      for (let elapsed = 0; elapsed < ms; elapsed += 100) {
        if (elapsed === 300) running.forEach(({ linkAll }) => linkAll());
        running.forEach(({ budget }) => {
          for (let n = 0; n < requestsPerS / 10; n += 1) budget.recordRequest('s');
          for (let n = takeAll(budget); n > 0; n -= 1) retriesAt.push(clock.monotonic());
        });
        await clock.advance(100);
      }
    };
    await runFor(20_000, 10);
    for (let kills = 0; kills < 4; kills += 1) {
      running = names.map(startEntry);
      await runFor(2_500, 10);
    }
    await runFor(20_000, 10);
    const mostInWindow = Math.max(
      ...retriesAt.map((from) => retriesAt.filter((at) => at >= from && at < from + 10_000).length),
    );
    expect(mostInWindow).to.be.at.most(0.2 * 10 * 10 * names.length + 94);
  });

  // All entries use up their budgets in a moment, and are killed right after it. What the next processes may send for
  // their own requests adds to that within the same window.
  it('keeps the limit of all entries when they are killed right after a burst', async () => {
    const limits = { ratio: 0.2, windowMs: 10_000, allowance: 94 };
    for (let killedAfterMs = 500; killedAfterMs <= 9_500; killedAfterMs += 1_500) {
      const clock = createManualClock();
      const retriesAt: number[] = [];
      const runFor = async (
        budgets: RetryBudget[],
        ms: number,
        isFailing: boolean,
      ): Promise<void> => {
        for (let elapsed = 0; elapsed < ms; elapsed += 100) {
          budgets.forEach((budget) => {
            budget.recordRequest('s');
            for (let n = isFailing ? takeAll(budget) : 0; n > 0; n -= 1) {
              retriesAt.push(clock.monotonic());
            }
          });
          await clock.advance(100);
        }
      };
      const startAll = (startedAt: number): RetryBudget[] =>
        Array.from({ length: 5 }, () =>
          createRetryBudget({ limits: () => limits, entries: () => 5, startedAt, clock }),
        );
      const first = startAll(-Infinity);
      await runFor(first, 20_000, false);
      await runFor(first, killedAfterMs, true);
      await runFor(startAll(clock.monotonic()), 25_000, true);
      const mostInWindow = Math.max(
        ...retriesAt.map(
          (from) => retriesAt.filter((at) => at >= from && at < from + limits.windowMs).length,
        ),
      );
      expect(mostInWindow).to.be.at.most(0.2 * 10 * 10 * 5 + 94);
    }
  });

  it('applies changed limits at once', () => {
    const { limits, budget } = create(1);
    expect(takeAll(budget)).to.equal(56);
    limits.allowance = 100;
    expect(takeAll(budget)).to.equal(14);
  });

  it('grows with the number of requests and recovers after the window', async () => {
    const { clock, budget } = create(4);
    for (let n = 0; n < 100; n += 1) budget.recordRequest('s');
    expect(takeAll(budget)).to.equal(28);
    expect(budget.take('other')).to.equal(true);
    await clock.advance(10_001);
    expect(takeAll(budget)).to.equal(14);
  });
});

describe('admission of streams', () => {
  const create = () => {
    const clock = createManualClock();
    const upstream = createUpstream(record, clock);
    return { clock, upstream, admission: createAdmission(clock, silentEventLog) };
  };

  it('admits as many streams as there are slots while pauses are short', () => {
    const { upstream, admission } = create();
    let admitted = 0;
    while (admitted < 50 && admission.decide(streamRequest, [upstream]).admitted) {
      upstream.begin();
      admitted += 1;
    }
    expect(admitted).to.equal(10);
  });

  // Pauses above the target make all streams of a group late. Guards that the limit is lowered then, and raised
  // again once pauses are short.
  it('lowers the limit when pauses are long and raises it again', async () => {
    const { clock, upstream, admission } = create();
    for (let n = 0; n < 9; n += 1) upstream.begin();
    admission.decide(streamRequest, [upstream]);
    await clock.advance(200);
    for (let n = 0; n < 10; n += 1) admission.eventTimings('s').recordPause(300);
    const decision = admission.decide(streamRequest, [upstream]);
    expect(decision).to.deep.equal({ admitted: false, reason: 'pace-too-slow' });
    const lowered = admission.limit('s') ?? 0;
    await clock.advance(1_000);
    for (let n = 0; n < 10; n += 1) admission.eventTimings('s').recordPause(40);
    admission.decide(streamRequest, [upstream]);
    expect(admission.limit('s')).to.be.above(lowered);
  });

  // Passes take several times the target because the expert map is uneven or a rank is slow: even a quarter of the
  // streams would see long pauses. Refusing further callers would not help the streams in flight.
  it('refuses no stream when the number of streams is not the cause of long pauses', async () => {
    const { clock, upstream, admission } = create();
    const request = { ...streamRequest, passTimes: { stepMs: 4, perStreamMs: 0.1 } };
    for (let n = 0; n < 8; n += 1) upstream.begin();
    admission.decide(request, [upstream]);
    for (let n = 0; n < 5; n += 1) {
      for (let pause = 0; pause < 10; pause += 1) admission.eventTimings('s').recordPause(400);
      await clock.advance(200);
      expect(admission.decide(request, [upstream]).admitted).to.equal(true);
    }
  });

  // An upstream resets connections beyond its limit, and the requests on them are lost.
  it('keeps within the connections that an upstream accepts from all entries', () => {
    const { upstream, admission } = create();
    const request = { ...streamRequest, targetPauseMs: undefined, maxConnections: 3 };
    upstream.recordPeerInFlight('other', 2);
    expect(admission.decide(request, [upstream]).admitted).to.equal(true);
    upstream.begin();
    const decision = admission.decide(request, [upstream]);
    expect(decision).to.deep.equal({ admitted: false, reason: 'upstreams-full' });
  });

  it('counts the requests of other entries at an upstream', () => {
    const { upstream, admission } = create();
    upstream.recordPeerInFlight('other', 10);
    expect(admission.decide(streamRequest, [upstream]).admitted).to.equal(false);
    upstream.forgetPeer('other');
    expect(admission.decide(streamRequest, [upstream]).admitted).to.equal(true);
  });
});

describe('health of an upstream', () => {
  // One lost connection makes an upstream suspect, so that others are chosen first. The time for which it stays
  // suspect doubles with each further failure.
  it('is suspect when it cannot be reached, for longer each time', async () => {
    const clock = createManualClock();
    const upstream = createUpstream(record, clock);
    upstream.recordFailure('unreachable');
    expect(upstream.isSuspect()).to.equal(true);
    await clock.advance(401);
    expect(upstream.isSuspect()).to.equal(false);
    upstream.recordFailure('unreachable');
    await clock.advance(401);
    expect(upstream.isSuspect()).to.equal(true);
  });

  // A slow rank delays its whole group. It gets fewer requests while its agent reports a slowdown, and its usual share
  // once the report is some seconds old.
  it('has a higher load score while its agent reports a slowdown', async () => {
    const clock = createManualClock();
    const upstream = createUpstream(record, clock);
    const baseline = upstream.loadScoreOfNext();
    upstream.recordSlowdown(4);
    expect(upstream.loadScoreOfNext()).to.equal(4 * baseline);
    await clock.advance(2_499);
    expect(upstream.loadScoreOfNext()).to.equal(4 * baseline);
    await clock.advance(2);
    expect(upstream.loadScoreOfNext()).to.equal(baseline);
  });

  // Three failures in a row make an upstream suspect as well. The failure share is averaged over several attempts, so
  // that an occasional success doesn't make a failing upstream look healthy.
  it('is suspect after several failures but not after one', () => {
    const upstream = createUpstream(record, createManualClock());
    upstream.recordFailure('failed');
    expect(upstream.isSuspect()).to.equal(false);
    upstream.recordFailure('failed');
    upstream.recordFailure('failed');
    expect(upstream.isSuspect()).to.equal(true);
  });
});
