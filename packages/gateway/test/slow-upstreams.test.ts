import { expect } from 'chai';
import fc from 'fast-check';
import { createManualClock } from '@plantaindrum/common';
import { createSlowdownTracker } from '../src/upstreams/slowdown-tracker.js';
import { maxUsedSlowdown } from '../src/upstreams/slow-upstreams.js';
import type { UpstreamSlowdown } from '../src/upstreams/slow-upstreams.js';
import { streamEvents } from './support/fake-upstream.js';
import { eventIdsOf, countRequests, streamRoute, wait, withEntry } from './support/with-entry.js';

const group = (...slowdowns: number[]): UpstreamSlowdown[] =>
  slowdowns.map((slowdown) => ({ slowdown, slots: 8 }));
const baseline = (count: number): number[] => new Array<number>(count).fill(1);

describe('excluding slow upstreams', () => {
  // Each pass of the group waits for the slow rank as long as it has a stream, here 8 s. The 62 streams fit on the
  // eleven other ranks, whose passes then take the normal time.
  it('excludes one slow rank of twelve, whether it is very or slightly slow', () => {
    [12, 1.6, 1.2].forEach((slowdown) => {
      expect(maxUsedSlowdown(group(...baseline(11), slowdown), 62)).to.equal(1);
    });
  });

  it('excludes two slow ranks, but keeps them if the others have too few slots', () => {
    expect(maxUsedSlowdown(group(...baseline(10), 3, 3), 62)).to.equal(1);
    expect(maxUsedSlowdown(group(...baseline(10), 1.2, 1.2), 96)).to.equal(1.2);
    // 56 streams with passes of a sixth of the time have a higher throughput than 96.
    expect(maxUsedSlowdown(group(...baseline(7), ...new Array<number>(5).fill(6)), 96)).to.equal(1);
  });

  it('uses all if they are equally slow, and excludes one that is slower', () => {
    expect(maxUsedSlowdown(group(4, 4, 4), 10)).to.equal(4);
    expect(maxUsedSlowdown(group(4, 4, 4, 9), 10)).to.equal(4);
  });

  // Whatever the slowdowns, at least one upstream must remain.
  it('never excludes all', () => {
    fc.assert(
      fc.property(
        fc.array(fc.double({ min: 1, max: 50, noNaN: true }), { minLength: 1, maxLength: 30 }),
        fc.nat(400),
        (slowdowns, requests) => {
          const maxSlowdown = maxUsedSlowdown(group(...slowdowns), requests);
          expect(slowdowns.some((slowdown) => slowdown <= maxSlowdown)).to.equal(true);
        },
      ),
      { seed: 5, numRuns: 300 },
    );
  });
});

describe('slowdown tracker', () => {
  it('reports a recovery some time after the first report of normal speed', async () => {
    const clock = createManualClock();
    const record = createSlowdownTracker(clock);
    record.record(6);
    expect(record.slowdown()).to.equal(6);
    await clock.advance(100);
    record.record(1);
    await clock.advance(499);
    expect(record.slowdown()).to.equal(6);
    await clock.advance(1);
    expect(record.slowdown()).to.equal(1);
  });

  // A rank alternates between slow and normal speed. Streams that were sent there at once would be delayed each time.
  it('doubles the trust delay each time that the upstream becomes slow again', async () => {
    const clock = createManualClock();
    const record = createSlowdownTracker(clock);
    const pauses: number[] = [];
    for (let cycle = 0; cycle < 5; cycle += 1) {
      record.record(6);
      await clock.advance(200);
      record.record(1);
      const normalAt = clock.monotonic();
      while (record.slowdown() > 1) await clock.advance(50);
      pauses.push(clock.monotonic() - normalAt);
    }
    expect(pauses).to.deep.equal([500, 1_000, 2_000, 4_000, 4_000]);
    await clock.advance(20_000);
    record.record(6);
    record.record(1);
    await clock.advance(500);
    expect(record.slowdown()).to.equal(1);
  });

  it('drops a slowdown when the agent stops reporting', async () => {
    const clock = createManualClock();
    const record = createSlowdownTracker(clock);
    record.record(6);
    await clock.advance(2_499);
    expect(record.slowdown()).to.equal(6);
    await clock.advance(1);
    expect(record.slowdown()).to.equal(1);
  });
});

describe('a stream at a rank that becomes slow', () => {
  const slowDown = (entry: { directory: Directory }, port: number): void =>
    entry.directory.recordSlowdown({ host: '127.0.0.1', port, startedAt: 0, pace: 8 });
  interface Directory {
    recordSlowdown(report: { host: string; port: number; startedAt: number; pace: number }): void;
  }

  // A rank becomes slow while it has a stream, which delays the whole group. The stream is resumed at another rank
  // after its last event, within the same response, and the slot at the slow rank is freed at once.
  it('is resumed at another rank, without missing or repeated events', async () => {
    const handlers = [streamEvents([1, 2, 3], 'open'), streamEvents([1, 2, 3], 'open')];
    await withEntry(handlers, { route: streamRoute }, async (entry, upstreams) => {
      const pending = entry.send();
      while (countRequests(upstreams) === 0) await wait(5);
      await wait(30);
      const slow = upstreams.find(({ seen }) => seen.length === 1);
      const other = upstreams.find(({ seen }) => seen.length === 0);
      other?.setHandler(streamEvents([3, 4, 5], 'whole'));
      slowDown(entry, slow?.port ?? 0);
      const response = await pending;
      expect(eventIdsOf(response.body)).to.deep.equal([1, 2, 3, 4, 5]);
      expect(response.isComplete).to.equal(true);
      expect(other?.seen[0]?.headers['x-after']).to.equal('3');
      expect(slow?.abortedRequests()).to.equal(1);
    });
  });

  // A stream can't be moved if its route is not resumable, its attempts or the retry budget are used up, or no other
  // upstream is faster. It must continue where it is: if its attempt were aborted, it would be lost.
  it('stays at its rank if it must not be retried', async () => {
    const cases = [
      { route: { ...streamRoute, resumable: false } },
      { route: { ...streamRoute, maxAttempts: 1 } },
      { route: streamRoute, retryAllowance: 0 },
    ];
    for (const options of cases) {
      const handlers = [streamEvents([1], 'open'), streamEvents([1], 'open')];
      await withEntry(handlers, options, async (entry, upstreams) => {
        const pending = entry.send({}, '/p/x', '', 400);
        while (countRequests(upstreams) === 0) await wait(5);
        await wait(30);
        const slow = upstreams.find(({ seen }) => seen.length === 1);
        slowDown(entry, slow?.port ?? 0);
        await wait(200);
        expect(slow?.abortedRequests()).to.equal(0);
        expect(countRequests(upstreams)).to.equal(1);
        await pending;
      });
    }
  });

  it('is not started there while others are fast', async () => {
    const handlers = [streamEvents([1], 'whole'), streamEvents([1], 'whole')];
    await withEntry(handlers, { route: streamRoute }, async (entry, upstreams) => {
      slowDown(entry, upstreams[0]?.port ?? 0);
      for (let n = 0; n < 5; n += 1) await entry.send();
      expect(upstreams.map(({ seen }) => seen.length)).to.deep.equal([0, 5]);
    });
  });
});
