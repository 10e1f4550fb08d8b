import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import { createRelayedReader } from '../src/relayed-read.js';
import type { KeyedTopic, LogLatestOutcome } from '../src/topic.js';

type Answer = (outcome: LogLatestOutcome) => void;

const createTopic = (): { topic: KeyedTopic; reads: Answer[] } => {
  const reads: Answer[] = [];
  const readLatest = (): Promise<LogLatestOutcome> =>
    new Promise((resolve) => {
      reads.push(resolve);
    });
  const read = () => Promise.resolve({ outcome: 'failed' as const, why: 'refused' as const });
  return { topic: { name: 't', read, readLatest }, reads };
};

const itemsUntil = (end: number): LogLatestOutcome => ({
  outcome: 'items',
  items: [],
  hasMore: false,
  end,
  generation: 1,
});

describe('reading a topic for other nodes', () => {
  it('shares one read among the requests of a moment', async () => {
    const { topic, reads } = createTopic();
    const readFor = createRelayedReader(topic, createManualClock());
    const answers = Promise.all([readFor(), readFor()]);
    expect(reads).to.have.lengthOf(1);
    reads[0]?.(itemsUntil(7));
    expect((await answers).map((answer) => answer?.end)).to.deep.equal([7, 7]);
  });

  // The store was silent when the read began. An entry that asks after the store is back would wait for that read, and
  // get no answer.
  it('begins a new read when the last one has had no answer for long', async () => {
    const clock = createManualClock();
    const { topic, reads } = createTopic();
    const readFor = createRelayedReader(topic, clock);
    const first = readFor();
    await clock.advance(500);
    const second = readFor();
    expect(reads).to.have.lengthOf(2);
    reads[1]?.(itemsUntil(9));
    expect((await second)?.end).to.equal(9);
    const third = readFor();
    reads[0]?.({ outcome: 'failed', why: 'no-answer' });
    expect(await first).to.equal(undefined);
    const fourth = readFor();
    reads.slice(2).forEach((answer) => answer(itemsUntil(10)));
    expect((await Promise.all([third, fourth])).map((answer) => answer?.end)).to.deep.equal([
      10, 10,
    ]);
    expect(reads).to.have.lengthOf(3);
  });
});
