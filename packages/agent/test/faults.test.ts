import { once } from 'node:events';
import { setImmediate } from 'node:timers/promises';
import { INITIAL_CREDIT_BYTES } from '@plantaindrum/link';
import type { PeerFrame } from '@plantaindrum/link';
import { createLogStandIn } from '@plantaindrum/stand-ins';
import type { LogStandIn } from '@plantaindrum/stand-ins';
import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import type { Clock } from '@plantaindrum/common';
import { startTestAgent } from './support/agent.js';
import { createFakeEntry, dispatchOf, readable, textOf } from './support/entry.js';
import type { FakeEntry } from './support/entry.js';
import { declare, untilIntentAt } from './support/intent.js';
import { createFakeUpstream } from './support/upstream.js';
import type { FakeUpstream } from './support/upstream.js';

const bytesOf = (frames: PeerFrame[]): number =>
  frames.reduce((sum, frame) => sum + (frame.t === 'chunk' ? frame.data.length : 0), 0);

describe('agent under faults', () => {
  let upstream: FakeUpstream;
  let log: LogStandIn;
  const opened: { close(): Promise<void> }[] = [];

  beforeEach(async () => {
    upstream = await createFakeUpstream();
    log = await createLogStandIn();
  });

  afterEach(async () => {
    await Promise.all(opened.splice(0).map((one) => one.close()));
    await upstream.close();
    await log.close();
  });

  const start = async (clock?: Clock) => {
    const overrides = clock ? { clock } : {};
    const agent = await startTestAgent(upstream.url, {}, overrides, log.url);
    opened.push({ close: agent.stop });
    return agent;
  };

  const enter = (address: string, ...rest: [string?, boolean?, string?]): FakeEntry => {
    const entry = createFakeEntry(address, ...rest);
    opened.push(entry);
    return entry;
  };

  // Two callers' answers cross: the second request is answered first, in turns with the other.
  // Every chunk carries its own attempt's id and offset, so each caller gets its own whole answer.
  it('keeps crossed answers apart', async () => {
    const agent = await start();
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const one = await upstream.next();
    link.send(dispatchOf('e:2'));
    const two = await upstream.next();
    const seen: PeerFrame[] = [];
    for (const turn of [1, 2, 3]) {
      two.res.write(`two${turn} `);
      seen.push(...(await entry.until('chunk')));
      one.res.write(`one${turn} `);
      seen.push(...(await entry.until('chunk')));
    }
    two.res.end();
    seen.push(...(await entry.until('end')));
    one.res.end();
    seen.push(...(await entry.until('end')));
    const of = (id: string) => textOf(seen.filter((frame) => 'id' in frame && frame.id === id));
    expect([of('e:1'), of('e:2')]).to.deep.equal(['one1 one2 one3 ', 'two1 two2 two3 ']);
  });

  // An entry names an attempt of another entry. Obeying it would cancel a stranger's request or
  // send its answer astray, so that link ends and the other entry's request goes on.
  it('ends the link of an entry that names a foreign attempt', async () => {
    const agent = await start();
    const honest = enter(agent.link, 'e');
    const link = await honest.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    const other = await enter(agent.link, 'f').nextLink();
    other.send({ t: 'cancel', id: 'e:1' });
    expect(await other.closed).to.equal('closed-by-peer');
    res.end('whole');
    expect(textOf(await honest.until('end'))).to.equal('whole');
    expect(agent.metrics.counter('frames_refused', { reason: 'foreign-attempt' })).to.equal(1);
  });

  // The caller reads slowly, so the entry grants no credit. The agent holds the upstream back and
  // keeps no more than the credit, plus the one piece that the upstream had just sent.
  it('holds the upstream back for an entry that grants no credit', async () => {
    const agent = await start();
    const entry = enter(agent.link, 'e', false);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    const total = 32 * INITIAL_CREDIT_BYTES;
    res.end(Buffer.alloc(total));
    const seen: PeerFrame[] = [];
    while (bytesOf(seen) < INITIAL_CREDIT_BYTES) seen.push(...(await entry.until('chunk')));
    link.send({ t: 'query', id: 'e:1', headReceived: true, received: bytesOf(seen) });
    seen.push(...(await entry.until('in-progress')));
    expect(bytesOf(seen)).to.equal(INITIAL_CREDIT_BYTES);
    expect(res.writableFinished).to.equal(false);
    let granted = 0;
    while (bytesOf(seen) < total) {
      const held = bytesOf(seen);
      link.send({ t: 'credit', id: 'e:1', bytes: held - granted });
      granted = held;
      seen.push(...(await entry.until('chunk')));
    }
    link.send({ t: 'credit', id: 'e:1', bytes: total - granted });
    expect((await entry.until('end')).at(-1)).to.include({ length: total });
  });

  // The link breaks right after the head was sent, and nobody knows whether the entry has it. The
  // entry says so in its query: the head comes again only if it is missing.
  it('sends the head again only to an entry without it', async () => {
    const agent = await start();
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    res.flushHeaders();
    await entry.until('head');
    link.close();
    const second = await entry.nextLink();
    second.send({ t: 'query', id: 'e:1', headReceived: false, received: 0 });
    await entry.until('head');
    res.end('whole');
    expect(textOf(await entry.until('end'))).to.equal('whole');
  });

  // The caller of a title check goes away while it runs. Cutting it off would leave nobody knowing
  // whether it ran, so a started call that may not be repeated runs to its end.
  it('lets a started call that may not be repeated run to its end', async () => {
    const agent = await start();
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1', { mayNotRepeat: true }));
    const { res } = await upstream.next();
    link.send({ t: 'cancel', id: 'e:1' });
    link.send({ t: 'query', id: 'e:1', headReceived: false, received: 0 });
    await entry.until('in-progress');
    res.end();
    expect((await entry.until('end')).at(-1)).to.include({ length: 0 });
  });

  // An entry dies with requests queued and running here. After the grace nobody can come back for
  // them, so they leave the queue and the upstream instead of keeping slots from others.
  it('gives up the attempts of an entry that does not come back', async () => {
    const clock = createManualClock();
    const agent = await startTestAgent(upstream.url, { concurrency: 1 }, { clock }, log.url);
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    const cut = once(res, 'close');
    link.send(dispatchOf('e:2'));
    link.send({ t: 'query', id: 'e:2', headReceived: false, received: 0 });
    await entry.until('in-progress');
    await entry.close();
    while (agent.metrics.counter('link_closed', { reason: 'closed-by-peer' }) === 0) {
      await setImmediate();
    }
    await clock.advance(5_000);
    await cut;
    expect(upstream.requests()).to.equal(1);
    expect(agent.metrics.counter('attempts_abandoned', { state: 'queued' })).to.equal(1);
    const stopped = agent.stop();
    await clock.advance(5_000);
    await stopped;
  });

  // Operators stop the data centre of this agent. Entries elsewhere that lag behind are told "not
  // run" and try another upstream; the entries beside it still need it for what they hold, so
  // their work is taken until they have drained.
  it('turns away entries of other data centres while its own is being stopped', async () => {
    const agent = await start();
    const near = enter(agent.link, 'e');
    const far = enter(agent.link, 'f', true, 'lynnwood');
    const [nearLink, farLink] = await Promise.all([near.nextLink(), far.nextLink()]);
    await declare(log.url, 'dataCentres/kent', { state: 'stopped' });
    await untilIntentAt(agent.operators, 0);
    farLink.send(dispatchOf('f:1'));
    expect(readable(await far.until('not-run')).at(-1)).to.include({ reason: 'leaving' });
    nearLink.send(dispatchOf('e:1'));
    (await upstream.next()).res.end('whole');
    expect(textOf(await near.until('end'))).to.equal('whole');
    expect(upstream.requests()).to.equal(1);
  });
});
