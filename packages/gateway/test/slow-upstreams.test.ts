import { expect } from 'chai';
import fc from 'fast-check';
import { createManualClock } from '@plantaindrum/common';
import { createPaceRecord } from '../src/upstreams/pace-record.js';
import { usedPace } from '../src/upstreams/slow-upstreams.js';
import type { PacedUpstream } from '../src/upstreams/slow-upstreams.js';
import { streamEvents } from './support/fake-upstream.js';
import { eventsOf, runs, stream, wait, withEntry } from './support/with-entry.js';

const group = (...paces: number[]): PacedUpstream[] => paces.map((pace) => ({ pace, slots: 8 }));
const usual = (count: number): number[] => new Array<number>(count).fill(1);

describe('doing without slow upstreams', () => {
  // Each pass of the group waits for the slow rank while it has a stream, for 8 s. 62 streams fit on
  // the eleven others, whose passes are then as short as before.
  it('leaves one slow rank of twelve, very slow or slightly', () => {
    [12, 1.6, 1.2].forEach((pace) => {
      expect(usedPace(group(...usual(11), pace), 62)).to.equal(1);
    });
  });

  it('leaves two, and keeps them where the others have too few places', () => {
    expect(usedPace(group(...usual(10), 3, 3), 62)).to.equal(1);
    expect(usedPace(group(...usual(10), 1.2, 1.2), 96)).to.equal(1.2);
    // 56 streams at a sixth of the time make more than 96.
    expect(usedPace(group(...usual(7), ...new Array<number>(5).fill(6)), 96)).to.equal(1);
  });

  it('uses all when all are equally slow, and those that are less slow', () => {
    expect(usedPace(group(4, 4, 4), 10)).to.equal(4);
    expect(usedPace(group(4, 4, 4, 9), 10)).to.equal(4);
  });

  // Whatever the paces: somebody is always left to send to.
  it('never leaves all', () => {
    fc.assert(
      fc.property(
        fc.array(fc.double({ min: 1, max: 50, noNaN: true }), { minLength: 1, maxLength: 30 }),
        fc.nat(400),
        (paces, requests) => {
          const most = usedPace(group(...paces), requests);
          expect(paces.some((pace) => pace <= most)).to.equal(true);
        },
      ),
      { seed: 5, numRuns: 300 },
    );
  });
});

describe('the pace of an upstream', () => {
  it('is trusted again some time after the first sound word', async () => {
    const clock = createManualClock();
    const record = createPaceRecord(clock);
    record.note(6);
    expect(record.pace()).to.equal(6);
    await clock.advance(100);
    record.note(1);
    await clock.advance(499);
    expect(record.pace()).to.equal(6);
    await clock.advance(1);
    expect(record.pace()).to.equal(1);
  });

  // A rank turns slow and sound by turns. Streams that went back at once would be late each time.
  it('is trusted later each time that it turns slow again', async () => {
    const clock = createManualClock();
    const record = createPaceRecord(clock);
    const pauses: number[] = [];
    for (let turn = 0; turn < 5; turn += 1) {
      record.note(6);
      await clock.advance(200);
      record.note(1);
      const soundAt = clock.monotonic();
      while (record.pace() > 1) await clock.advance(50);
      pauses.push(clock.monotonic() - soundAt);
    }
    expect(pauses).to.deep.equal([500, 1_000, 2_000, 4_000, 4_000]);
    await clock.advance(20_000);
    record.note(6);
    record.note(1);
    await clock.advance(500);
    expect(record.pace()).to.equal(1);
  });

  it('is not believed for ever when the agent falls silent', async () => {
    const clock = createManualClock();
    const record = createPaceRecord(clock);
    record.note(6);
    await clock.advance(2_499);
    expect(record.pace()).to.equal(6);
    await clock.advance(1);
    expect(record.pace()).to.equal(1);
  });
});

describe('a stream at a rank that turns slow', () => {
  const slowDown = (entry: { directory: Directory }, port: number): void =>
    entry.directory.notePace({ host: '127.0.0.1', port, startedAt: 0, pace: 8 });
  interface Directory {
    notePace(pace: { host: string; port: number; startedAt: number; pace: number }): void;
  }

  // The stream is in its middle when its rank turns slow, which holds up the whole group. It goes on
  // at another rank after its last event, within the same answer, and its rank's slot is free at once.
  it('goes on at another rank, without a hole or a repeat', async () => {
    const acts = [streamEvents([1, 2, 3], 'open'), streamEvents([1, 2, 3], 'open')];
    await withEntry(acts, { route: stream }, async (entry, upstreams) => {
      const asked = entry.ask();
      while (runs(upstreams) === 0) await wait(5);
      await wait(30);
      const slow = upstreams.find(({ seen }) => seen.length === 1);
      const other = upstreams.find(({ seen }) => seen.length === 0);
      other?.act(streamEvents([3, 4, 5], 'whole'));
      slowDown(entry, slow?.port ?? 0);
      const answer = await asked;
      expect(eventsOf(answer.body)).to.deep.equal([1, 2, 3, 4, 5]);
      expect(answer.isWhole).to.equal(true);
      expect(other?.seen[0]?.headers['x-after']).to.equal('3');
      expect(slow?.brokenOff()).to.equal(1);
    });
  });

  // It can't be moved: its route may not resume, its attempts or the budget are used up, or nobody is
  // quicker. It must go on where it is; given up, it would be lost.
  it('stays where it is when it may not be sent again', async () => {
    const cases = [
      { route: { ...stream, resumable: false } },
      { route: { ...stream, maxAttempts: 1 } },
      { route: stream, retryAllowance: 0 },
    ];
    for (const options of cases) {
      const acts = [streamEvents([1], 'open'), streamEvents([1], 'open')];
      await withEntry(acts, options, async (entry, upstreams) => {
        const asked = entry.ask({}, '/p/x', '', 400);
        while (runs(upstreams) === 0) await wait(5);
        await wait(30);
        const slow = upstreams.find(({ seen }) => seen.length === 1);
        slowDown(entry, slow?.port ?? 0);
        await wait(200);
        expect(slow?.brokenOff()).to.equal(0);
        expect(runs(upstreams)).to.equal(1);
        await asked;
      });
    }
  });

  it('is not begun there while others are quick', async () => {
    const acts = [streamEvents([1], 'whole'), streamEvents([1], 'whole')];
    await withEntry(acts, { route: stream }, async (entry, upstreams) => {
      slowDown(entry, upstreams[0]?.port ?? 0);
      for (let n = 0; n < 5; n += 1) await entry.ask();
      expect(upstreams.map(({ seen }) => seen.length)).to.deep.equal([0, 5]);
    });
  });
});
