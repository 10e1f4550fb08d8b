import { expect } from 'chai';
import {
  createManualClock,
  createMetrics,
  createSeededRandom,
  fail,
  ok,
  silentEventLog,
} from '@plantaindrum/common';
import type { UpstreamRecord } from '../src/index.js';
import { createDirectory } from '../src/upstreams/directory.js';

const first: UpstreamRecord = {
  instance: 'a',
  startedAt: 1_000,
  service: 's',
  host: '10.0.0.1',
  port: 80,
  dataCentre: 'd',
  slots: 4,
  state: 'ready',
  warmupLeftMs: 0,
  sequence: 9,
};
const again: UpstreamRecord = { ...first, startedAt: 2_000, sequence: 1 };

const start = () => {
  const events: unknown[][] = [];
  const ended: [instance: string, startedAt: number][] = [];
  const metrics = createMetrics();
  const clock = createManualClock();
  const directory = createDirectory({
    decode: (_, value) => {
      const text = Buffer.from(value).toString();
      return text.startsWith('{') ? ok(JSON.parse(text) as UpstreamRecord) : fail('bytes');
    },
    dataCentre: 'd',
    onEnded: ({ instance, startedAt }) => ended.push([instance, startedAt]),
    maxConnections: () => Infinity,
    linkedShare: () => 1,
    logBackAt: () => -Infinity,
    clock,
    random: createSeededRandom(1),
    metrics,
    log: { ...silentEventLog, event: (...event) => events.push(event) },
  });
  const put = (key: string, value: unknown): void =>
    directory.apply({
      key,
      value: Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)),
    });
  const take = (record: UpstreamRecord): void => put(record.instance, record);
  const chosen = (): UpstreamRecord | undefined => directory.choose('s', new Set())?.record;
  return { directory, clock, metrics, events, ended, put, take, chosen };
};

describe('upstreams that start again under their instance', () => {
  // The upstream crashed and started again at once, under its instance, before its entry lapsed. Its
  // sequence began anew, so its entries looked like old ones and it got no request ever again.
  it('are used again although their sequence began anew', () => {
    const { take, chosen, events } = start();
    take(first);
    take(again);
    expect(chosen()).to.include({ startedAt: 2_000, sequence: 1 });
    expect(events.map(([name]) => name)).to.include('upstream-started-again');
  });

  // What ran at it when it crashed is suspect; an upstream that has left as announced crashed nobody.
  it('are told as ended, and so are those at whose address another one is listed', () => {
    const { take, ended } = start();
    take(first);
    take(again);
    expect(ended).to.deep.equal([[first.instance, first.startedAt]]);
    take({ ...again, instance: 'next' });
    expect(ended.slice(1)).to.deep.equal([[again.instance, again.startedAt]]);
    take({ ...again, instance: 'next', state: 'draining', sequence: 2 });
    take({ ...again, instance: 'after-it' });
    expect(ended).to.have.lengthOf(2);
  });

  // The entry of an upstream that crashed lapses, and some seconds later another one is listed at its address.
  it('are told as ended after their entry has lapsed', () => {
    const { take, put, ended, directory } = start();
    take(first);
    directory.apply({ key: first.instance, value: undefined });
    put('next', { ...first, instance: 'next' });
    expect(ended).to.deep.equal([[first.instance, first.startedAt]]);
  });

  // It announced its leaving, ended, and is back under its instance. It stayed "leaving" for ever.
  it('are no longer leaving', () => {
    const { take, chosen } = start();
    take(first);
    take({ ...first, state: 'draining', sequence: 10 });
    expect(chosen()).to.equal(undefined);
    take(again);
    expect(chosen()).to.include({ startedAt: 2_000 });
  });

  // Its earlier start failed requests, was slow, and another instance answered at its address. None
  // of that says anything about a process that knows nothing of before.
  it('have no failures, load, pace or successor of the earlier start', () => {
    const { directory, take, chosen } = start();
    take(first);
    const before = directory.choose('s', new Set());
    before?.begin();
    [1, 2, 3, 4].forEach(() => before?.noteFailure('failed'));
    directory.notePace({ host: first.host, port: first.port, startedAt: 1_000, pace: 9 });
    if (before) directory.noteReplaced(before);
    expect(chosen()).to.equal(undefined);
    take(again);
    const now = directory.choose('s', new Set());
    expect(now?.isSuspect()).to.equal(false);
    expect(now?.total()).to.equal(0);
    expect(now?.costOfNext()).to.equal(1 / first.slots);
    directory.notePace({ host: first.host, port: first.port, startedAt: 1_000, pace: 9 });
    expect(now?.costOfNext()).to.equal(1 / first.slots);
  });

  // A heartbeat of the earlier start was under way for long and lands after the later start's. Taken
  // for news it would mark a sound upstream as leaving.
  it('are not changed by a late word of the earlier start', () => {
    const { take, chosen, metrics } = start();
    take(first);
    take(again);
    take({ ...first, state: 'draining', sequence: 12 });
    expect(chosen()).to.include({ startedAt: 2_000, state: 'ready' });
    expect(metrics.exposition()).to.contain('gateway_outdated_entries');
  });

  // The upstream left and its entry is gone; a heartbeat that it sent before lands last and would
  // bring it back to life for the three intervals until it lapses.
  it('are not brought back by a late word after they have left', () => {
    const { directory, take, chosen } = start();
    take(first);
    take({ ...first, state: 'draining', sequence: 10 });
    directory.apply({ key: 'a', value: undefined });
    take(first);
    expect(chosen()).to.equal(undefined);
    take(again);
    expect(chosen()).to.include({ startedAt: 2_000 });
  });
});

describe('upstreams whose entry was removed', () => {
  // The platform's log is restored from a copy from before an upstream crashed. Its entry is in the list again, and
  // stands there until it lapses once more; at its address it would hide the upstream that has taken its place.
  it('are not brought back by the entry that a restored log hands out again', () => {
    const { directory, take, chosen } = start();
    take(first);
    directory.apply({ key: 'a', value: undefined });
    take({ ...first, instance: 'b', sequence: 1 });
    take(first);
    expect(chosen()).to.include({ instance: 'b' });
    take({ ...first, sequence: first.sequence - 2 });
    expect(chosen()).to.include({ instance: 'b' });
  });

  // Its entry lapsed while the platform's log was away; it lives and writes again.
  it('are used again with their next heartbeat', () => {
    const { directory, take, chosen } = start();
    take(first);
    directory.apply({ key: 'a', value: undefined });
    take({ ...first, sequence: first.sequence + 5 });
    expect(chosen()).to.include({ instance: 'a' });
  });
});

describe('upstreams at one address', () => {
  const next: UpstreamRecord = { ...first, instance: 'b' };

  // All upstreams lost power and are new instances at their old addresses; the old entries stand for
  // seconds. Half of all attempts went to instances that are gone, and spent the budget.
  it('are taken for one, the one that was listed last', () => {
    const { directory, take, chosen } = start();
    take(first);
    take(next);
    take({ ...first, sequence: 10 });
    expect(chosen()).to.include({ instance: 'b' });
    expect(directory.usable('s')).to.have.length(1);
  });

  // Somebody else lists an instance at a sound upstream's address. The first answer tells that it
  // isn't there, and the sound one serves on.
  it('serve on when the last one turns out not to be there', () => {
    const { directory, take, chosen } = start();
    take(first);
    take(next);
    const upstream = directory.choose('s', new Set());
    if (upstream) directory.noteReplaced(upstream);
    expect(chosen()).to.include({ instance: 'a' });
  });
});

describe('entries by another writer', () => {
  // Somebody else writes under the key of a sound upstream and under new ones. The upstream goes on
  // being used, nothing new is, and the log isn't flooded by an entry that is read again and again.
  it('name no upstream, change nothing that is known, are logged once and counted', () => {
    const { put, take, chosen, directory, events, metrics } = start();
    take(first);
    [1, 2, 3].forEach(() => put('a', 'nonsense'));
    put('b', 'nonsense');
    expect(chosen()).to.include({ instance: 'a' });
    expect(directory.all()).to.have.length(1);
    expect(events.filter(([name]) => name === 'upstream-entry-foreign')).to.have.length(2);
    expect(metrics.exposition()).to.match(/gateway_foreign_entries(_total)?\{fault="bytes"\} 4/);
  });

  it('are logged no more often than a bound, whatever they hold', () => {
    const { put, events } = start();
    for (let n = 0; n < 1_000; n += 1) put('a', `nonsense ${n}`);
    expect(events).to.have.length(256);
  });
});
