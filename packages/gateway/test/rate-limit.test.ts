import { expect } from 'chai';
import { createManualClock, createMetrics, silentEventLog } from '@plantaindrum/common';
import { createConnectedEntries } from '../src/mesh/connected-entries.js';
import { readRateLimitUpdate } from '../src/mesh/rate-limit-update.js';
import type { RateLimitUpdate } from '../src/mesh/rate-limit-update.js';
import { createRateLimit } from '../src/upstreams/rate-limit.js';
import { createRateLimits } from '../src/upstreams/rate-limits.js';
import { createUpstream } from '../src/upstreams/upstream.js';
import { answerOk, refuseNotRun, validHeaders } from './support/fake-upstream.js';
import type { Handler } from './support/fake-upstream.js';
import { countRequests, withEntry } from './support/with-entry.js';

const allConnected = (): number => 1;

describe("an upstream's limit on requests", () => {
  // Entries that use the limit at the same time send too many requests together. Unless they wait for the excess to be
  // compensated, each such collision raises the rate that the upstream receives.
  it('compensates by waiting when entries have sent too many requests', async () => {
    const clock = createManualClock();
    const limit = createRateLimit(clock, allConnected);
    limit.set(2);
    expect(limit.waitMs()).to.equal(500);
    await clock.advance(500);
    expect(limit.waitMs()).to.equal(0);
    limit.spend(3);
    expect(limit.waitMs()).to.equal(1_500);
  });

  // After an idle minute a limit of 20 per second would otherwise let through a burst of a minute's requests.
  it('allows a burst of at most a quarter of a second after an idle time', async () => {
    const clock = createManualClock();
    const limit = createRateLimit(clock, allConnected);
    limit.set(20);
    await clock.advance(60_000);
    limit.spend(5);
    expect(limit.waitMs()).to.equal(50);
  });

  // The answer to a request sent before the upstream was overloaded may arrive after the one that advertises the limit.
  // If it cleared the limit, all requests would be let through again.
  it('is not cleared by the answer to a request that was sent before the limit was advertised', async () => {
    const clock = createManualClock(1_000);
    const limit = createRateLimit(clock, allConnected);
    expect(limit.set(1)).to.equal(true);
    expect(limit.clear(900)).to.equal(false);
    expect(limit.perSecond()).to.equal(1);
    expect(limit.clear(1_000)).to.equal(true);
    expect(limit.waitMs()).to.equal(0);
  });

  // With a limit of 0 an upstream would receive no request, and so could never clear the limit in an answer.
  it('lets a single request through at intervals when it is 0', async () => {
    const clock = createManualClock();
    const limit = createRateLimit(clock, allConnected);
    limit.set(0);
    expect(limit.waitMs()).to.equal(10_000);
    await clock.advance(10_000);
    expect(limit.waitMs()).to.equal(0);
  });

  // A partition splits the entries into two halves that receive nothing from each other; each would use the full limit.
  it('is reduced to the fraction of the entries that are connected', async () => {
    const clock = createManualClock();
    const connected = createConnectedEntries(clock);
    ['b', 'c', 'd'].forEach(connected.recordLinked);
    expect(connected.connectedFraction()).to.equal(1);
    const limit = createRateLimit(clock, connected.connectedFraction);
    limit.set(1);
    ['c', 'd'].forEach(connected.recordLost);
    expect(limit.waitMs()).to.equal(2_000);
    connected.recordLinked('c');
    expect(connected.connectedFraction()).to.equal(0.75);
    await clock.advance(60_001);
    expect(connected.connectedFraction()).to.equal(1);
  });
});

describe('rate limit updates between entries', () => {
  const record = {
    ...{ instance: 'i', startedAt: 5, service: 's', host: '10.0.0.1', port: 80, dataCentre: 'd' },
    ...{ slots: 4, state: 'ready' as const, warmupLeftMs: 0, sequence: 1 },
  };

  const startLimits = () => {
    const clock = createManualClock(1_000);
    const upstream = createUpstream(record, clock);
    const updates: RateLimitUpdate[] = [];
    const limits = createRateLimits({
      upstreams: () => [upstream],
      broadcast: (update) => updates.push(update),
      metrics: createMetrics(),
      log: silentEventLog,
    });
    const answer = (perSecond: number | undefined, hasRun = true): void =>
      limits.recordResponse(upstream, {
        requestId: 'q',
        perSecond,
        sentAt: clock.monotonic(),
        hasRun,
      });
    return { clock, upstream, limits, updates, answer };
  };

  it('are broadcast when a limit is set, for each request sent, and when the limit is cleared', () => {
    const { upstream, limits, updates, answer } = startLimits();
    limits.recordSent(upstream);
    answer(4);
    answer(4);
    limits.recordSent(upstream);
    expect(limits.snapshot()).to.deep.equal({ ...updates[0], sent: [] });
    answer(undefined);
    expect(updates).toMatchSnapshot();
  });

  // A full upstream refuses requests without advertising its limit, while it needs the limit most.
  it('do not clear a limit after a refusal that does not advertise it', () => {
    const { upstream, answer } = startLimits();
    answer(4);
    answer(undefined, false);
    expect(upstream.rate.perSecond()).to.equal(4);
  });

  // An upstream crashed and started again with the same instance id. A limit that a peer knows from the earlier start
  // would restrict the new one for as long as no request is sent to it.
  it('apply only to the start of the upstream that they name', () => {
    const { upstream, limits } = startLimits();
    limits.applyUpdate('e2', { limits: [{ instance: 'i', startedAt: 4, perSecond: 1 }], sent: [] });
    expect(upstream.rate.perSecond()).to.equal(undefined);
    limits.applyUpdate('e2', {
      limits: [{ instance: 'i', startedAt: 5, perSecond: 1 }],
      sent: [{ instance: 'i', startedAt: 5, requests: 2 }],
    });
    expect(upstream.rate.waitMs()).to.equal(3_000);
    limits.applyUpdate('e2', {
      limits: [{ instance: 'i', startedAt: 5, perSecond: null }],
      sent: [],
    });
    expect(upstream.rate.waitMs()).to.equal(0);
  });

  it('are ignored when they are invalid', () => {
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

describe('serving with upstreams that advertise rate limits', () => {
  const limited =
    (perSecond: number): Handler =>
    (req, res) => {
      res.writeHead(200, { ...validHeaders(req), 'x-rate-limit': String(perSecond) }).end('ok');
    };

  // The limits of both upstreams are used up. If the caller waited until its deadline, it would not learn when to
  // retry; if its request was sent nevertheless, it would overload an upstream.
  it('refuses at once with a retry time when all limits are used up', async () => {
    await withEntry([limited(0.5), limited(0.25)], {}, async (entry, upstreams) => {
      expect((await entry.send()).status).to.equal(200);
      expect((await entry.send()).status).to.equal(200);
      const refused = await entry.send();
      expect(refused).to.include({ status: 503, body: 'upstreams-rate-limited\n' });
      expect(refused.ms).to.be.below(200);
      expect(Number(refused.headers['retry-after'])).to.be.within(1.5, 3);
      expect(countRequests(upstreams)).to.equal(2);
    });
  });

  // A retry needs an upstream with capacity, too: the first upstream refuses, and the second one is at its limit.
  it('does not retry at an upstream whose limit is used up', async () => {
    await withEntry([answerOk(), limited(0.5)], {}, async (entry, [first, second]) => {
      while (second?.seen.length === 0) await entry.send();
      first?.setHandler(refuseNotRun);
      const before = second?.seen.length;
      const refused = await entry.send();
      expect(refused).to.include({ status: 503, body: 'upstreams-rate-limited\n' });
      expect(second?.seen.length).to.equal(before);
    });
  });
});
