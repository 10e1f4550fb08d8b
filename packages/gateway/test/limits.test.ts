import { expect } from 'chai';
import { createManualClock, silentEventLog } from '@plantaindrum/common';
import { createAdmission } from '../src/admission/admission.js';
import type { AdmissionRequest } from '../src/admission/admission.js';
import { createConnectedEntries } from '../src/mesh/linked-share.js';
import { createRetryBudget } from '../src/retry/budget.js';
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
    const options = { limits: () => limits, entries: () => entries, clock };
    return { clock, limits, budget: createRetryBudget(options) };
  };
  const takeAll = (budget: { take(service: string): boolean }): number => {
    let taken = 0;
    while (budget.take('s')) taken += 1;
    return taken;
  };

  // Retries over the operators' bound would break a promise on every entry together, so each keeps
  // to its share, below it by what a killed entry may have forgotten.
  it('gives each entry its share', () => {
    expect(takeAll(create(1).budget)).to.equal(56);
    expect(takeAll(create(4).budget)).to.equal(14);
  });

  // A partition leaves two pairs of four entries. Each pair would give itself the whole allowance, and the retries of
  // both reach the same upstreams.
  it('keeps the share of entries behind a partition free', async () => {
    const clock = createManualClock();
    const linked = createConnectedEntries(clock);
    ['b', 'c', 'd'].forEach(linked.recordLinked);
    ['c', 'd'].forEach(linked.recordLost);
    const limits = { ratio: 0.2, windowMs: 10_000, allowance: 80 };
    const { entries } = linked;
    expect(takeAll(createRetryBudget({ limits: () => limits, entries, clock }))).to.equal(14);
    linked.recordLinked('c');
    await clock.advance(60_001);
    expect(takeAll(createRetryBudget({ limits: () => limits, entries, clock }))).to.equal(18);
  });

  it('takes over what the operators change', () => {
    const { limits, budget } = create(1);
    expect(takeAll(budget)).to.equal(56);
    limits.allowance = 100;
    expect(takeAll(budget)).to.equal(14);
  });

  it('grows with requests and comes back with time', async () => {
    const { clock, budget } = create(4);
    for (let n = 0; n < 100; n += 1) budget.noteRequest('s');
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

  it('admits as many as there are slots while pauses are short', () => {
    const { upstream, admission } = create();
    let admitted = 0;
    while (admitted < 50 && admission.decide(streamRequest, [upstream]).admitted) {
      upstream.begin();
      admitted += 1;
    }
    expect(admitted).to.equal(10);
  });

  // All streams would be late together. Pauses grow over the target; the limit follows them down,
  // and up again when they are short.
  it('cuts the limit when pauses are long and lets it grow again', async () => {
    const { clock, upstream, admission } = create();
    for (let n = 0; n < 9; n += 1) upstream.begin();
    admission.decide(streamRequest, [upstream]);
    await clock.advance(200);
    for (let n = 0; n < 10; n += 1) admission.pace('s').notePause(300);
    const cut = admission.decide(streamRequest, [upstream]);
    expect(cut).to.deep.equal({ admitted: false, reason: 'pace-too-slow' });
    const low = admission.limit('s') ?? 0;
    await clock.advance(1_000);
    for (let n = 0; n < 10; n += 1) admission.pace('s').notePause(40);
    admission.decide(streamRequest, [upstream]);
    expect(admission.limit('s')).to.be.above(low);
  });

  // Passes lie twice over the target because the map is uneven or a rank is slow: even a quarter of the
  // streams would see long pauses. Refusing the next caller helps nobody who is in flight.
  it('refuses nobody where the number of streams is not the cause', async () => {
    const { clock, upstream, admission } = create();
    const request = { ...streamRequest, passTimes: { stepMs: 4, perStreamMs: 0.1 } };
    for (let n = 0; n < 8; n += 1) upstream.begin();
    admission.decide(request, [upstream]);
    for (let n = 0; n < 5; n += 1) {
      for (let pause = 0; pause < 10; pause += 1) admission.pace('s').notePause(400);
      await clock.advance(200);
      expect(admission.decide(request, [upstream]).admitted).to.equal(true);
    }
  });

  // An upstream resets connections beyond its limit, and a request on one of them is lost.
  it('keeps to the connections that an upstream accepts from all entries', () => {
    const { upstream, admission } = create();
    const request = { ...streamRequest, targetPauseMs: undefined, maxConnections: 3 };
    upstream.notePeer('other', 2);
    expect(admission.decide(request, [upstream]).admitted).to.equal(true);
    upstream.begin();
    const full = admission.decide(request, [upstream]);
    expect(full).to.deep.equal({ admitted: false, reason: 'upstreams-full' });
  });

  it('counts what other entries have at an upstream', () => {
    const { upstream, admission } = create();
    upstream.notePeer('other', 10);
    expect(admission.decide(streamRequest, [upstream]).admitted).to.equal(false);
    upstream.forgetPeer('other');
    expect(admission.decide(streamRequest, [upstream]).admitted).to.equal(true);
  });
});

describe('health of an upstream', () => {
  // One lost connection is enough to try others first; three failures in a row as well, and a sound
  // answer now and then keeps a grey upstream from being chosen as if it were well.
  it('is suspect when it can not be reached, for longer each time', async () => {
    const clock = createManualClock();
    const upstream = createUpstream(record, clock);
    upstream.noteFailure('unreachable');
    expect(upstream.isSuspect()).to.equal(true);
    await clock.advance(401);
    expect(upstream.isSuspect()).to.equal(false);
    upstream.noteFailure('unreachable');
    await clock.advance(401);
    expect(upstream.isSuspect()).to.equal(true);
  });

  // A slow rank holds up its whole group, so it gets fewer requests while its agent says that it is
  // slow, and as many as the others when that has not been said for some seconds.
  it('costs more while its agent says that it is slow', async () => {
    const clock = createManualClock();
    const upstream = createUpstream(record, clock);
    const usual = upstream.costOfNext();
    upstream.notePace(4);
    expect(upstream.costOfNext()).to.equal(4 * usual);
    await clock.advance(2_499);
    expect(upstream.costOfNext()).to.equal(4 * usual);
    await clock.advance(2);
    expect(upstream.costOfNext()).to.equal(usual);
  });

  it('is suspect after some failures and not after one', () => {
    const upstream = createUpstream(record, createManualClock());
    upstream.noteFailure('failed');
    expect(upstream.isSuspect()).to.equal(false);
    upstream.noteFailure('failed');
    upstream.noteFailure('failed');
    expect(upstream.isSuspect()).to.equal(true);
  });
});
