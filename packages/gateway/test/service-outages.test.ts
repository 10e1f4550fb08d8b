import { expect } from 'chai';
import { createManualClock, createMetrics, silentEventLog } from '@plantaindrum/common';
import { createServiceOutages } from '../src/admission/service-outages.js';
import type { WaitOutcome } from '../src/admission/service-outages.js';
import { answerOk, refuseNotRun, streamEvents } from './support/fake-upstream.js';
import type { Handler } from './support/fake-upstream.js';
import { eventIdsOf, countRequests, streamRoute, wait, withEntry } from './support/with-entry.js';

const startOutages = () => {
  const clock = createManualClock();
  const outages = createServiceOutages({ clock, metrics: createMetrics(), log: silentEventLog });
  const ended: [name: string, outcome: WaitOutcome][] = [];
  /** Callers that needn't wait any longer. */
  const gone = new Set<string>();
  const enqueue = (
    name: string,
    urgency = 1,
    maxWaiting = 9,
    waitMs = 1_000,
    isLastAttempt = true,
  ): void => {
    void outages
      .wait('s', {
        until: clock.monotonic() + waitMs,
        urgency,
        maxWaiting,
        isLastAttempt,
        isGone: () => gone.has(name),
      })
      .then((outcome) => ended.push([name, outcome]));
  };
  return { clock, outages, ended, enqueue, gone };
};

describe('waiting for a group that re-forms', () => {
  it('lets one caller probe at a time, and releases all by urgency at the first answer', async () => {
    const { clock, outages, ended, enqueue } = startOutages();
    outages.recordRefusal('s');
    enqueue('first');
    enqueue('second');
    enqueue('urgent', 0);
    enqueue('third');
    await clock.advance(120);
    expect(ended).to.deep.equal([['urgent', 'ask']]);
    outages.recordRefusal('s');
    await clock.advance(50);
    outages.recordAnswer('s');
    await clock.advance(0);
    expect(ended.slice(1)).to.deep.equal([
      ['first', 'open'],
      ['second', 'open'],
      ['third', 'open'],
    ]);
    expect(outages.isUnavailable('s')).to.equal(false);
  });

  // The first passes of a group that has formed are long: the first event of the probe takes half a second, and the
  // entry went on refusing for up to 1.9 s. Ranks that refuse do so at once, so a probe without an answer means that
  // the group serves again.
  it('ends the outage when the probe is not refused at once', async () => {
    const { clock, outages, ended, enqueue } = startOutages();
    outages.recordRefusal('s');
    enqueue('first');
    enqueue('second');
    await clock.advance(120);
    expect(ended).to.deep.equal([['first', 'ask']]);
    await clock.advance(120);
    expect(ended.slice(1)).to.deep.equal([['second', 'open']]);
    expect(outages.isUnavailable('s')).to.equal(false);
  });

  // The probe was sent to an instance that no longer exists, which says nothing about the group.
  it('continues the outage when the probe is inconclusive', async () => {
    const { clock, outages, ended, enqueue } = startOutages();
    outages.recordRefusal('s');
    enqueue('first');
    enqueue('second');
    await clock.advance(120);
    outages.recordInconclusive('s');
    await clock.advance(120);
    expect(ended).to.deep.equal([
      ['first', 'ask'],
      ['second', 'ask'],
    ]);
  });

  // Guards against an outage that counts as over because its prober, which had gone, was never refused.
  it('lets no caller probe that need not wait any longer', async () => {
    const { clock, outages, ended, enqueue, gone } = startOutages();
    outages.recordRefusal('s');
    enqueue('first');
    enqueue('second');
    gone.add('first');
    await clock.advance(120);
    expect(ended).to.deep.equal([
      ['first', 'too-long'],
      ['second', 'ask'],
    ]);
  });

  // With an unlimited wait queue, the last callers would queue at the upstreams until they are late. Callers beyond
  // the limit are refused at once, and waits end in time for the caller to retry.
  it('limits the number of waiting callers and the time that they wait', async () => {
    const { clock, outages, ended, enqueue } = startOutages();
    outages.recordRefusal('s');
    enqueue('a', 1, 2, 150);
    enqueue('b', 1, 2, 150);
    enqueue('c', 1, 2, 150);
    await clock.advance(0);
    expect(ended).to.deep.equal([['c', 'no-room']]);
    for (let n = 0; n < 4; n += 1) {
      await clock.advance(100);
      outages.recordRefusal('s');
    }
    expect(ended.slice(1)).to.deep.equal([
      ['a', 'ask'],
      ['b', 'too-long'],
    ]);
  });

  // Callers that may retry are told to do so later. One of them probes when there was no probe recently; otherwise an
  // entry without waiting callers would go on refusing after the group has formed.
  it('does not queue callers that may retry, but lets one of them probe at intervals', async () => {
    const { clock, outages, ended, enqueue } = startOutages();
    outages.recordRefusal('s');
    enqueue('a', 1, 9, 1_000, false);
    await clock.advance(120);
    enqueue('b', 1, 9, 1_000, false);
    enqueue('c', 1, 9, 1_000, false);
    await clock.advance(0);
    expect(ended).to.deep.equal([
      ['a', 'no-room'],
      ['b', 'ask'],
      ['c', 'no-room'],
    ]);
  });

  it('drops an outage one second after its last refusal', async () => {
    const { clock, outages } = startOutages();
    outages.recordRefusal('s');
    expect(outages.isUnavailable('s')).to.equal(true);
    await clock.advance(1_001);
    expect(outages.isUnavailable('s')).to.equal(false);
  });
});

describe('serving callers of a group that re-forms', () => {
  const UPSTREAMS = 6;
  const acts = (act: Handler): Handler[] => new Array<Handler>(UPSTREAMS).fill(act);

  // All ranks refuse while the group forms. Callers that resume a cut stream won't come back a second time, so they
  // wait the half second until the group has formed. Few attempts are made meanwhile, and all callers are served.
  it('serves waiting callers once the group has formed', async () => {
    await withEntry(acts(refuseNotRun), { route: streamRoute }, async (entry, upstreams) => {
      const firstAnswers = await Promise.all(Array.from({ length: 3 }, () => entry.send()));
      expect(firstAnswers.map(({ status }) => status)).to.include(503);
      const requests = Array.from({ length: 6 }, () => entry.send({ 'x-after': '0' }));
      await wait(350);
      const runsDuringOutage = countRequests(upstreams);
      upstreams.forEach((upstream) => upstream.setHandler(streamEvents([1, 2], 'whole')));
      const answers = await Promise.all(requests);
      expect(answers.map(({ body }) => eventIdsOf(body))).to.deep.equal(
        new Array(requests.length).fill([1, 2]),
      );
      expect(runsDuringOutage).to.be.below(20);
    });
  });

  it('refuses callers with a retry time when the outage continues', async () => {
    await withEntry(acts(refuseNotRun), { route: streamRoute }, async (entry) => {
      const answers = await Promise.all(Array.from({ length: 8 }, () => entry.send()));
      answers.forEach((answer) => {
        expect(answer.status).to.equal(503);
        expect(Number(answer.headers['retry-after'])).to.be.above(0);
        expect(answer.ms).to.be.below(1_500);
      });
    });
  });

  // The answer to a request without a stream is read as a whole; the wait before it is the same.
  it('queues requests without a stream as well', async () => {
    await withEntry(acts(refuseNotRun), { route: { kind: 'safe' } }, async (entry, upstreams) => {
      await Promise.all(Array.from({ length: 3 }, () => entry.send()));
      const request = entry.send({ 'x-after': '0' });
      await wait(50);
      upstreams.forEach((upstream) => upstream.setHandler(answerOk()));
      expect((await request).status).to.equal(200);
    });
  });
});
