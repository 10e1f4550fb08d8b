import { expect } from 'chai';
import { createManualClock, createMetrics, silentEventLog } from '@plantaindrum/common';
import { createKeyedMirror, followTopic, UNCONFIRMED_OFFSET, WHOLE } from '../src/index.js';
import type { KeyedRecord, KeyedTopic, LogReadOutcome, PeerRecords } from '../src/index.js';

const record = (key: string, offset: number, value: string): KeyedRecord => ({
  key,
  offset,
  value: Buffer.from(value),
});

/** Lets what has been resolved go on, without a timer of the clock. */
const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** A log that tests fill, cut off and shorten. */
const createFakeLog = () => {
  const records: KeyedRecord[] = [];
  let first = 0;
  let generation = 0;
  let mode: 'up' | 'refusing' | 'silent' = 'up';
  let reads = 0;
  const answer = async <T>(value: () => T): Promise<T | { outcome: 'failed'; why: 'refused' }> => {
    reads += 1;
    if (mode === 'silent') return new Promise(() => {});
    return mode === 'refusing' ? { outcome: 'failed', why: 'refused' } : value();
  };
  const read = (from: number): LogReadOutcome =>
    from < first || from > records.length
      ? { outcome: 'expired', generation }
      : { outcome: 'records', records: records.slice(from), end: records.length, generation };
  const topic: KeyedTopic = {
    name: 't',
    read: (from) => answer(() => read(from)),
    newest: () =>
      answer(() => ({
        outcome: 'items' as const,
        items: [...new Map(records.map((r) => [r.key, r])).values()].flatMap((r) =>
          r.value ? [{ ...r, value: r.value }] : [],
        ),
        hasMore: false,
        end: records.length,
        generation,
      })),
  };
  return {
    topic,
    add: (key: string, value: string) => records.push(record(key, records.length, value)),
    set: (next: typeof mode) => {
      mode = next;
    },
    forget: () => {
      first = records.length;
    },
    /** Comes back from a copy that holds this many records. */
    restore: (kept: number) => {
      records.splice(kept);
      first = Math.min(first, kept);
      generation += 1;
    },
    reads: () => reads,
  };
};

const start = async (
  peer?: () => PeerRecords | undefined,
  isReadByPeer = () => false,
  retryMaxMs?: number,
) => {
  const clock = createManualClock();
  const log = createFakeLog();
  const mirror = createKeyedMirror(() => {});
  const follower = followTopic({
    topic: log.topic,
    mirror,
    askPeers: async () => peer?.(),
    isReadByPeer,
    waitMs: 0,
    pauseMs: 100,
    ...(retryMaxMs === undefined ? {} : { retryMaxMs }),
    clock,
    metrics: createMetrics(),
    log: silentEventLog,
  });
  const value = (): string | undefined => {
    const item = mirror.items().find(({ key }) => key === 'k');
    return item && Buffer.from(item.value).toString();
  };
  // The first read begins with the follower; its answer is there after a turn of the event loop.
  await settle();
  return { clock, log, mirror, follower, value };
};

/** A follower whose reads wait at the log until the test answers them. */
const startWaiting = async (end: number) => {
  let answer: (outcome: LogReadOutcome) => void = () => {};
  const from: number[] = [];
  const topic: KeyedTopic = {
    name: 't',
    newest: async () => ({ outcome: 'items', items: [], hasMore: false, end, generation: 0 }),
    read: (offset) => {
      from.push(offset);
      return new Promise((resolve) => {
        answer = resolve;
      });
    },
  };
  const clock = createManualClock();
  const mirror = createKeyedMirror(() => {});
  const common = { clock, metrics: createMetrics(), log: silentEventLog };
  const reading = { waitMs: 10_000, pauseMs: 100, askPeers: async () => undefined };
  const follower = followTopic({ topic, mirror, ...reading, ...common });
  await settle();
  return { clock, mirror, follower, from, answer: (outcome: LogReadOutcome) => answer(outcome) };
};

describe('following a topic', () => {
  it('reads the newest values first and then what is added', async () => {
    const { clock, log, follower, value } = await start();
    log.add('k', '1');
    await clock.advance(150);
    expect(value()).to.equal('1');
    log.add('k', '2');
    await clock.advance(150);
    expect(value()).to.equal('2');
    expect(follower.age()).to.be.below(151);
    follower.close();
  });

  // An operator's change would be missed for good: the records between the mirror and the log's
  // first one are gone. The newest values are read again.
  it('reads the newest values again when history is gone', async () => {
    const { clock, log, follower, value } = await start();
    log.add('k', '1');
    await clock.advance(150);
    log.set('refusing');
    await clock.advance(300);
    log.add('x', '1');
    log.add('k', '2');
    log.forget();
    log.set('up');
    await clock.advance(2_000);
    expect(value()).to.equal('2');
    follower.close();
  });

  // The store refuses for eight seconds, and each of 76 nodes asks it again and again for a list that seldom
  // changes; each refusal is paid for. One that was never read is still asked for often.
  it('asks a log that refuses seldom for what it knows already', async () => {
    const { clock, log, follower, value } = await start(undefined, undefined, 4_000);
    log.add('k', '1');
    await clock.advance(150);
    log.set('refusing');
    const before = log.reads();
    await clock.advance(8_000);
    expect(log.reads() - before).to.be.at.most(6);
    log.add('k', '2');
    log.set('up');
    await clock.advance(4_000);
    expect(value()).to.equal('2');
    follower.close();
  });

  // A node stops while its read waits at the log, and the answer comes afterwards: it dialled the node that the
  // answer named, for ever.
  it('takes nothing after it was closed', async () => {
    const { clock, mirror, follower, answer } = await startWaiting(0);
    await clock.advance(200);
    follower.close();
    answer({ outcome: 'records', records: [record('k', 0, '1')], end: 1, generation: 0 });
    await clock.advance(200);
    expect(mirror.items()).to.deep.equal([]);
  });

  // The store turns this node away and serves the others. A key that was taken away would still be
  // served here; a peer that hears the store passes the change on.
  it('learns from a peer while the log refuses', async () => {
    let peer: PeerRecords | undefined;
    const { clock, log, follower, value } = await start(() => peer);
    log.add('k', '1');
    await clock.advance(150);
    log.set('refusing');
    await clock.advance(300);
    peer = { records: [record('k', 1, '2')], end: 2, generation: 0, ageMs: 40 };
    await clock.advance(600);
    expect(value()).to.equal('2');
    expect(follower.age()).to.be.below(400);
    expect(follower.logAge()).to.be.above(500);
    follower.close();
  });

  // The same when the store accepts the call and never answers.
  it('learns from a peer while the log is silent', async () => {
    const peer: PeerRecords = { records: [record('k', 1, '2')], end: 2, generation: 0, ageMs: 0 };
    const { clock, log, follower, value } = await start(() => peer);
    log.add('k', '1');
    await clock.advance(50);
    log.set('silent');
    await clock.advance(1_500);
    expect(value()).to.equal('2');
    follower.close();
  });

  // A peer that is cut off as well confirms nothing, or two of them would keep each other in the
  // belief that what they hold is current.
  it('does not grow younger by a peer that is as old', async () => {
    const peer: PeerRecords = { records: [], end: 1, generation: 0, ageMs: 10_000 };
    const { clock, log, follower } = await start(() => peer);
    log.add('k', '1');
    await clock.advance(50);
    log.set('refusing');
    await clock.advance(3_000);
    expect(follower.age()).to.be.above(2_500);
    follower.close();
  });

  it('asks a log that refuses less and less often', async () => {
    const { clock, log, follower } = await start();
    log.set('refusing');
    await clock.advance(10_000);
    expect(log.reads()).to.be.below(16);
    follower.close();
  });
});

describe('leaving the reading to a peer', () => {
  const startLeft = async (peer?: () => PeerRecords | undefined) => {
    const started = await start(peer, () => true);
    started.log.add('k', '1');
    await started.clock.advance(250);
    expect(started.mirror.end()).to.equal(1);
    return started;
  };

  it('reads nothing while the peer passes on what it hears', async () => {
    const { clock, log, mirror, follower } = await startLeft();
    follower.takePush({ after: 1, records: [], end: 1, generation: 0 });
    const reads = log.reads();
    for (let n = 2; n < 12; n += 1) {
      await clock.advance(200);
      follower.takePush({
        after: n - 1,
        records: [record('k', n - 1, `${n}`)],
        end: n,
        generation: 0,
      });
    }
    expect(log.reads() - reads).to.be.at.most(1);
    expect(mirror.end()).to.equal(11);
    expect(follower.age()).to.equal(0);
    follower.close();
  });

  // The peer freezes or loses the store, and its links stay open for a while. A change of the
  // operators' would not be heard; each node reads the log itself again.
  it('reads again when the peer says nothing more', async () => {
    const { clock, log, mirror, follower } = await startLeft();
    follower.takePush({ after: 1, records: [], end: 1, generation: 0 });
    await clock.advance(200);
    log.add('k', '2');
    await clock.advance(700);
    expect(mirror.end()).to.equal(2);
    follower.close();
  });

  // A node that was cut off for a moment missed what was passed on. Taking the next piece would
  // leave a gap for good.
  it('asks for what it missed', async () => {
    const missed = { records: [record('k', 4, '5')], end: 5, generation: 0, ageMs: 0 };
    const { clock, mirror, follower } = await startLeft(() => missed);
    follower.takePush({ after: 4, records: [record('x', 4, '1')], end: 5, generation: 0 });
    await clock.advance(10);
    expect(mirror.items().map(({ key }) => key)).to.deep.equal(['k']);
    expect(mirror.end()).to.equal(5);
    follower.close();
  });

  it('is not confirmed by a peer that is behind', async () => {
    const { clock, follower } = await startLeft();
    await clock.advance(60);
    const age = follower.age();
    follower.takePush({ after: 0, records: [], end: 0, generation: 0 });
    expect(follower.age()).to.equal(age);
    follower.close();
  });
});

describe('following a topic of a log that is restored from an older copy', () => {
  const startRestored = async (
    peer?: () => PeerRecords | undefined,
    isReadByPeer = () => false,
  ) => {
    const started = await start(peer, isReadByPeer);
    ['1', '2', '3', '4'].forEach((value) => started.log.add('k', value));
    await started.clock.advance(250);
    expect(started.mirror.end()).to.equal(4);
    return started;
  };

  // The records since the copy are gone, and the next ones get their offsets. Compared by offset alone they would be
  // taken for those that are held already.
  it('takes the records that get offsets given out before', async () => {
    const { clock, log, mirror, follower, value } = await startRestored();
    log.restore(1);
    log.add('k', '5');
    await clock.advance(300);
    expect(value()).to.equal('5');
    expect([mirror.generation(), mirror.end()]).to.deep.equal([1, 2]);
    log.add('k', '6');
    await clock.advance(300);
    expect(value()).to.equal('6');
    follower.close();
  });

  // The restored log has grown beyond what is held by the time that it is read: nothing of it is refused, and the
  // records in between would be missed.
  it('reads all values of a log that has grown past what it held', async () => {
    const { clock, log, follower, mirror } = await startRestored();
    log.restore(1);
    log.add('x', '1');
    ['5', '6', '7', '8'].forEach((each) => log.add('k', each));
    await clock.advance(300);
    expect(mirror.items().map(({ key }) => key)).to.deep.equal(['k', 'x']);
    follower.close();
  });

  // A restored copy that is read again and again is a storm of calls, each of them paid for.
  it('reads it once', async () => {
    const { clock, log, follower } = await startRestored();
    log.restore(1);
    const before = log.reads();
    await clock.advance(1_000);
    expect(log.reads() - before).to.be.at.most(12);
    follower.close();
  });

  it('moves on with a peer that has moved on, and leaves out the words of one that has not', async () => {
    const { follower, mirror, value } = await startRestored(undefined, () => true);
    follower.takePush({ after: WHOLE, records: [record('k', 1, '5')], end: 2, generation: 1 });
    expect([value(), mirror.generation(), mirror.end()]).to.deep.equal(['5', 1, 2]);
    follower.takePush({ after: 4, records: [record('k', 4, 'old')], end: 5, generation: 0 });
    expect([value(), mirror.generation(), mirror.end()]).to.deep.equal(['5', 1, 2]);
    follower.close();
  });

  // A read waits at the log for what comes after offset 4; a peer moves this node on to the restored log, which ends at 2;
  // the log grows past 4 and answers the read. What lies between 2 and 4 would be missed for good.
  it('takes no answer to a read that began before it moved on', async () => {
    const { clock, mirror, follower, from, answer } = await startWaiting(4);
    await clock.advance(150);
    follower.takePush({ after: WHOLE, records: [record('k', 1, '5')], end: 2, generation: 1 });
    answer({ outcome: 'records', records: [record('x', 4, '1')], end: 5, generation: 1 });
    await settle();
    expect(mirror.end()).to.equal(2);
    await clock.advance(150);
    expect(from).to.deep.equal([4, 2]);
    follower.close();
  });

  // A node that starts just after the restore hears of an upstream from a peer that waits for it to write again. It never
  // does: nothing in the log would ever take it off the list of the node that started.
  it('drops what only a peer still held and nobody wrote again', async () => {
    const clock = createManualClock();
    const log = createFakeLog();
    log.set('refusing');
    const mirror = createKeyedMirror(() => {});
    const held = {
      records: [record('gone', UNCONFIRMED_OFFSET, '1')],
      end: 0,
      generation: 1,
      ageMs: 0,
    };
    const follower = followTopic({
      topic: log.topic,
      mirror,
      askPeers: async () => held,
      waitMs: 0,
      pauseMs: 100,
      rewrittenWithinMs: 2_000,
      clock,
      metrics: createMetrics(),
      log: silentEventLog,
    });
    await clock.advance(600);
    expect(mirror.items().map(({ key }) => key)).to.deep.equal(['gone']);
    held.records = [];
    await clock.advance(2_500);
    expect(mirror.items()).to.deep.equal([]);
    follower.close();
  });

  // Its first word after the restore was lost with a link. The next one starts from a place that isn't known here.
  it('reads the log itself when it has missed that a peer moved on', async () => {
    const { log, follower, mirror, value } = await startRestored(undefined, () => true);
    follower.takePush({ after: 4, records: [], end: 4, generation: 0 });
    log.restore(1);
    ['5', '6'].forEach((each) => log.add('k', each));
    follower.takePush({ after: 2, records: [record('k', 2, '6')], end: 3, generation: 1 });
    await settle();
    expect([value(), mirror.generation(), mirror.end()]).to.deep.equal(['6', 1, 3]);
    follower.close();
  });
});
