import { expect } from 'chai';
import { createManualClock, createMetrics, silentEventLog } from '@plantaindrum/common';
import { createConnectedEntries } from '../src/mesh/linked-share.js';
import { readRateLimitUpdate } from '../src/mesh/rate-news.js';
import type { RateNews } from '../src/mesh/rate-news.js';
import { createRateLimit } from '../src/upstreams/rate-limit.js';
import { createRateLimits } from '../src/upstreams/rate-limits.js';
import { createUpstream } from '../src/upstreams/upstream.js';
import { answerOk, refuseUnrun, soundHeaders } from './support/fake-upstream.js';
import type { Act } from './support/fake-upstream.js';
import { runs, withEntry } from './support/with-entry.js';

const whole = (): number => 1;

describe("an upstream's limit on requests", () => {
  // Entries that draw from the limit at the same moment send too many; unless they pay that off, each meeting adds to
  // what the upstream gets.
  it('is paid off by waiting when entries have sent too many', async () => {
    const clock = createManualClock();
    const limit = createRateLimit(clock, whole);
    limit.set(2);
    expect(limit.waitMs()).to.equal(500);
    await clock.advance(500);
    expect(limit.waitMs()).to.equal(0);
    limit.spend(3);
    expect(limit.waitMs()).to.equal(1_500);
  });

  // After a quiet minute a limit of 20 a second would let sixty seconds of requests through at once.
  it('allows no more than a quarter of a second at once after a pause', async () => {
    const clock = createManualClock();
    const limit = createRateLimit(clock, whole);
    limit.set(20);
    await clock.advance(60_000);
    limit.spend(5);
    expect(limit.waitMs()).to.equal(50);
  });

  // An answer that was made before the upstream was overloaded comes after the one that bears the limit; taken for the
  // end of the limit, it would let everything through again.
  it('is not ended by the answer to a request that was sent before it was named', async () => {
    const clock = createManualClock(1_000);
    const limit = createRateLimit(clock, whole);
    expect(limit.set(1)).to.equal(true);
    expect(limit.clear(900)).to.equal(false);
    expect(limit.perSecond()).to.equal(1);
    expect(limit.clear(1_000)).to.equal(true);
    expect(limit.waitMs()).to.equal(0);
  });

  // An upstream that names 0 gets no request and so has no answer in which to clear it.
  it('lets a request through now and then when it is 0', async () => {
    const clock = createManualClock();
    const limit = createRateLimit(clock, whole);
    limit.set(0);
    expect(limit.waitMs()).to.equal(10_000);
    await clock.advance(10_000);
    expect(limit.waitMs()).to.equal(0);
  });

  // A partition leaves two halves of the entries that hear nothing of each other; each would take the whole limit.
  it('is drawn from by the part of the entries that hear of each other', async () => {
    const clock = createManualClock();
    const share = createConnectedEntries(clock);
    ['b', 'c', 'd'].forEach(share.recordLinked);
    expect(share.connectedFraction()).to.equal(1);
    const limit = createRateLimit(clock, share.connectedFraction);
    limit.set(1);
    ['c', 'd'].forEach(share.recordLost);
    expect(limit.waitMs()).to.equal(2_000);
    share.recordLinked('c');
    expect(share.connectedFraction()).to.equal(0.75);
    await clock.advance(60_001);
    expect(share.connectedFraction()).to.equal(1);
  });
});

describe('limits that entries tell each other', () => {
  const record = {
    ...{ instance: 'i', startedAt: 5, service: 's', host: '10.0.0.1', port: 80, dataCentre: 'd' },
    ...{ slots: 4, state: 'ready' as const, warmupLeftMs: 0, sequence: 1 },
  };

  const start = () => {
    const clock = createManualClock(1_000);
    const upstream = createUpstream(record, clock);
    const told: RateNews[] = [];
    const limits = createRateLimits({
      upstreams: () => [upstream],
      tell: (news) => told.push(news),
      metrics: createMetrics(),
      log: silentEventLog,
    });
    const answer = (perSecond: number | undefined, hasRun = true): void =>
      limits.noteAnswer(upstream, { requestId: 'q', perSecond, sentAt: clock.monotonic(), hasRun });
    return { clock, upstream, limits, told, answer };
  };

  it('are told when they begin, for each request that is sent, and when they end', () => {
    const { upstream, limits, told, answer } = start();
    limits.noteSent(upstream);
    answer(4);
    answer(4);
    limits.noteSent(upstream);
    expect(limits.whole()).to.deep.equal({ ...told[0], sent: [] });
    answer(undefined);
    expect(told).toMatchSnapshot();
  });

  // An upstream that is full refuses without a word on its limit; it needs it all the more.
  it('are not ended by a refusal that does not bear them', () => {
    const { upstream, answer } = start();
    answer(4);
    answer(undefined, false);
    expect(upstream.rate.perSecond()).to.equal(4);
  });

  // The upstream crashed and started again under its instance. What a peer knew of its former start would hold the new
  // one down for as long as nobody asks it.
  it('hold for the start of the upstream that they were told of', () => {
    const { upstream, limits } = start();
    limits.takeNews('e2', { limits: [{ instance: 'i', startedAt: 4, perSecond: 1 }], sent: [] });
    expect(upstream.rate.perSecond()).to.equal(undefined);
    limits.takeNews('e2', {
      limits: [{ instance: 'i', startedAt: 5, perSecond: 1 }],
      sent: [{ instance: 'i', startedAt: 5, requests: 2 }],
    });
    expect(upstream.rate.waitMs()).to.equal(3_000);
    limits.takeNews('e2', { limits: [{ instance: 'i', startedAt: 5, perSecond: null }], sent: [] });
    expect(upstream.rate.waitMs()).to.equal(0);
  });

  it('are read from sound notes only', () => {
    const limit = { instance: 'i', startedAt: 0, perSecond: 1.5 };
    const sent = { instance: 'i', startedAt: 0, requests: 1 };
    expect(readRateLimitUpdate({ limits: [limit], sent: [sent] })).to.not.equal(undefined);
    [
      ...[undefined, 1, {}, { limits: [] }, { limits: [limit], sent: [{ ...sent, requests: -1 }] }],
      { limits: [{ ...limit, perSecond: 'x' }], sent: [] },
      { limits: [{ ...limit, perSecond: NaN }], sent: [] },
      { limits: new Array(5_000).fill(limit), sent: [] },
    ].forEach((value) => expect(readRateLimitUpdate(value)).to.equal(undefined));
  });
});

describe('serving before upstreams that name limits', () => {
  const limited =
    (perSecond: number): Act =>
    (req, res) => {
      res.writeHead(200, { ...soundHeaders(req), 'x-rate-limit': String(perSecond) }).end('ok');
    };

  // Both upstreams have named limits that are used up. Held until its deadline the caller would learn nothing; sent on
  // all the same, it would be the request that an overloaded upstream can't take.
  it('refuses at once, with the time until a request may be sent, when all limits are used up', async () => {
    await withEntry([limited(0.5), limited(0.25)], {}, async (entry, upstreams) => {
      expect((await entry.ask()).status).to.equal(200);
      expect((await entry.ask()).status).to.equal(200);
      const refused = await entry.ask();
      expect(refused).to.include({ status: 503, body: 'upstreams-rate-limited\n' });
      expect(refused.ms).to.be.below(200);
      expect(Number(refused.headers['retry-after'])).to.be.within(1.5, 3);
      expect(runs(upstreams)).to.equal(2);
    });
  });

  // A retry has to go where there is room as well: the first upstream refuses, the second one is at its limit.
  it('does not retry at an upstream whose limit is used up', async () => {
    await withEntry([answerOk(), limited(0.5)], {}, async (entry, [first, second]) => {
      while (second?.seen.length === 0) await entry.ask();
      first?.act(refuseUnrun);
      const before = second?.seen.length;
      const refused = await entry.ask();
      expect(refused).to.include({ status: 503, body: 'upstreams-rate-limited\n' });
      expect(second?.seen.length).to.equal(before);
    });
  });
});
