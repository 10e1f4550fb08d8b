import { expect } from 'chai';
import { createManualClock, createMetrics, silentEventLog } from '@plantaindrum/common';
import { createReopening } from '../src/admission/reopening.js';
import type { WaitOutcome } from '../src/admission/reopening.js';
import { answerOk, refuseUnrun, streamEvents } from './support/fake-upstream.js';
import type { Act } from './support/fake-upstream.js';
import { eventsOf, runs, stream, wait, withEntry } from './support/with-entry.js';

const start = () => {
  const clock = createManualClock();
  const reopening = createReopening({ clock, metrics: createMetrics(), log: silentEventLog });
  const ended: [name: string, outcome: WaitOutcome][] = [];
  const join = (name: string, urgency = 1, room = 9, waitMs = 1_000, isLastTry = true): void => {
    void reopening
      .wait('s', { until: clock.monotonic() + waitMs, urgency, room, isLastTry })
      .then((outcome) => ended.push([name, outcome]));
  };
  return { clock, reopening, ended, join };
};

describe('waiting for a group that forms anew', () => {
  it('lets one caller ask at a time and all go on with the first answer, in turn', async () => {
    const { clock, reopening, ended, join } = start();
    reopening.noteRefusing('s');
    join('first');
    join('second');
    join('urgent', 0);
    join('third');
    await clock.advance(120);
    expect(ended).to.deep.equal([['urgent', 'ask']]);
    reopening.noteRefusing('s');
    await clock.advance(50);
    reopening.noteAnswer('s');
    await clock.advance(0);
    expect(ended.slice(1)).to.deep.equal([
      ['first', 'open'],
      ['second', 'open'],
      ['third', 'open'],
    ]);
    expect(reopening.isClosed('s')).to.equal(false);
  });

  // The group has opened, but its first passes are long: the caller that asked sees its first event
  // half a second later. Until then an entry went on refusing, for up to 1.9 s after the opening. Ranks
  // that refuse do so at once, so silence tells that the group is open.
  it('counts as open when the one that asks is not refused at once', async () => {
    const { clock, reopening, ended, join } = start();
    reopening.noteRefusing('s');
    join('first');
    join('second');
    await clock.advance(120);
    expect(ended).to.deep.equal([['first', 'ask']]);
    await clock.advance(120);
    expect(ended.slice(1)).to.deep.equal([['second', 'open']]);
    expect(reopening.isClosed('s')).to.equal(false);
  });

  // The one that asks meets an instance that is gone, which says nothing of the group.
  it('stays closed when the one that asks learns nothing', async () => {
    const { clock, reopening, ended, join } = start();
    reopening.noteRefusing('s');
    join('first');
    join('second');
    await clock.advance(120);
    reopening.noteNothing('s');
    await clock.advance(120);
    expect(ended).to.deep.equal([
      ['first', 'ask'],
      ['second', 'ask'],
    ]);
  });

  // More wait than there are places: the group opens, and those beyond would queue behind all others
  // until they are late. They are told at once, and waits end in time for the caller to come back.
  it('takes no more than there is room for, and nobody for longer than it may wait', async () => {
    const { clock, reopening, ended, join } = start();
    reopening.noteRefusing('s');
    join('a', 1, 2, 150);
    join('b', 1, 2, 150);
    join('c', 1, 2, 150);
    await clock.advance(0);
    expect(ended).to.deep.equal([['c', 'no-room']]);
    for (let n = 0; n < 4; n += 1) {
      await clock.advance(100);
      reopening.noteRefusing('s');
    }
    expect(ended.slice(1)).to.deep.equal([
      ['a', 'ask'],
      ['b', 'too-long'],
    ]);
  });

  // Callers that have another try are told to come later. They ask where nobody has lately, or an entry
  // at which none waits would go on refusing after the group has opened.
  it('keeps nobody waiting who may come back, and lets one of them ask now and then', async () => {
    const { clock, reopening, ended, join } = start();
    reopening.noteRefusing('s');
    join('a', 1, 9, 1_000, false);
    await clock.advance(120);
    join('b', 1, 9, 1_000, false);
    join('c', 1, 9, 1_000, false);
    await clock.advance(0);
    expect(ended).to.deep.equal([
      ['a', 'no-room'],
      ['b', 'ask'],
      ['c', 'no-room'],
    ]);
  });

  it('forgets a closure of which nothing was heard for a second', async () => {
    const { clock, reopening } = start();
    reopening.noteRefusing('s');
    expect(reopening.isClosed('s')).to.equal(true);
    await clock.advance(1_001);
    expect(reopening.isClosed('s')).to.equal(false);
  });
});

describe('callers of a group that forms anew', () => {
  const UPSTREAMS = 6;
  const acts = (act: Act): Act[] => new Array<Act>(UPSTREAMS).fill(act);

  // All ranks refuse while the group forms. The callers are back from a cut stream and won't be back
  // again. They wait for the half second that it takes, few attempts are made, and all are served.
  it('wait and are served when it opens', async () => {
    await withEntry(acts(refuseUnrun), { route: stream }, async (entry, upstreams) => {
      const early = await Promise.all(Array.from({ length: 3 }, () => entry.ask()));
      expect(early.map(({ status }) => status)).to.include(503);
      const asked = Array.from({ length: 6 }, () => entry.ask({ 'x-after': '0' }));
      await wait(350);
      const before = runs(upstreams);
      upstreams.forEach((upstream) => upstream.act(streamEvents([1, 2], 'whole')));
      const answers = await Promise.all(asked);
      expect(answers.map(({ body }) => eventsOf(body))).to.deep.equal(
        new Array(asked.length).fill([1, 2]),
      );
      expect(before).to.be.below(20);
    });
  });

  it('are refused with a time to come back when it stays closed', async () => {
    await withEntry(acts(refuseUnrun), { route: stream }, async (entry) => {
      const answers = await Promise.all(Array.from({ length: 8 }, () => entry.ask()));
      answers.forEach((answer) => {
        expect(answer.status).to.equal(503);
        expect(Number(answer.headers['retry-after'])).to.be.above(0);
        expect(answer.ms).to.be.below(1_500);
      });
    });
  });

  // A request without a stream has its answer read whole, and waits no differently.
  it('need not ask for a stream', async () => {
    await withEntry(acts(refuseUnrun), { route: { kind: 'safe' } }, async (entry, upstreams) => {
      await Promise.all(Array.from({ length: 3 }, () => entry.ask()));
      const asked = entry.ask({ 'x-after': '0' });
      await wait(50);
      upstreams.forEach((upstream) => upstream.act(answerOk()));
      expect((await asked).status).to.equal(200);
    });
  });
});
