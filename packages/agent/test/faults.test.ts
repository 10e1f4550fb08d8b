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
import { declareIntent, waitForIntentOffset } from './support/intent.js';
import { createFakeUpstream } from './support/upstream.js';
import type { FakeUpstream } from './support/upstream.js';

const countBytes = (frames: PeerFrame[]): number =>
  frames.reduce((sum, frame) => sum + (frame.t === 'chunk' ? frame.data.length : 0), 0);

describe('agent under faults', () => {
  let upstream: FakeUpstream;
  let log: LogStandIn;
  const resources: { close(): Promise<void> }[] = [];

  beforeEach(async () => {
    upstream = await createFakeUpstream();
    log = await createLogStandIn();
  });

  afterEach(async () => {
    await Promise.all(resources.splice(0).map((resource) => resource.close()));
    await upstream.close();
    await log.close();
  });

  const start = async (clock?: Clock) => {
    const overrides = clock ? { clock } : {};
    const agent = await startTestAgent(upstream.url, {}, overrides, log.url);
    resources.push({ close: agent.stop });
    return agent;
  };

  const connectEntry = (address: string, ...rest: [string?, boolean?, string?]): FakeEntry => {
    const entry = createFakeEntry(address, ...rest);
    resources.push(entry);
    return entry;
  };

  // The upstream sends chunks of two answers alternately. Each chunk carries the id of its attempt and
  // its offset, so each caller gets its own complete answer.
  it('keeps interleaved answers apart', async () => {
    const agent = await start();
    const entry = connectEntry(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const one = await upstream.next();
    link.send(dispatchOf('e:2'));
    const two = await upstream.next();
    const frames: PeerFrame[] = [];
    for (const round of [1, 2, 3]) {
      two.res.write(`two${round} `);
      frames.push(...(await entry.until('chunk')));
      one.res.write(`one${round} `);
      frames.push(...(await entry.until('chunk')));
    }
    two.res.end();
    frames.push(...(await entry.until('end')));
    one.res.end();
    frames.push(...(await entry.until('end')));
    const textOfAttempt = (id: string) =>
      textOf(frames.filter((frame) => 'id' in frame && frame.id === id));
    expect([textOfAttempt('e:1'), textOfAttempt('e:2')]).to.deep.equal([
      'one1 one2 one3 ',
      'two1 two2 two3 ',
    ]);
  });

  // An entry names an attempt of another entry. Handling the frame would cancel the other entry's
  // request or send its answer to the wrong entry, so the link is closed and the request goes on.
  it('closes the link of an entry that names an attempt of another entry', async () => {
    const agent = await start();
    const ownEntry = connectEntry(agent.link, 'e');
    const link = await ownEntry.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    const foreignLink = await connectEntry(agent.link, 'f').nextLink();
    foreignLink.send({ t: 'cancel', id: 'e:1' });
    expect(await foreignLink.closed).to.equal('closed-by-peer');
    res.end('whole');
    expect(textOf(await ownEntry.until('end'))).to.equal('whole');
    expect(agent.metrics.counter('frames_refused', { reason: 'foreign-attempt' })).to.equal(1);
  });

  // The caller reads slowly, so the entry grants no credit. The agent pauses reading from the upstream
  // and buffers at most the credit plus the chunk that the upstream has just sent.
  it('applies backpressure to the upstream when the entry grants no credit', async () => {
    const agent = await start();
    const entry = connectEntry(agent.link, 'e', false);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    const total = 32 * INITIAL_CREDIT_BYTES;
    res.end(Buffer.alloc(total));
    const frames: PeerFrame[] = [];
    while (countBytes(frames) < INITIAL_CREDIT_BYTES) frames.push(...(await entry.until('chunk')));
    link.send({ t: 'query', id: 'e:1', headReceived: true, received: countBytes(frames) });
    frames.push(...(await entry.until('in-progress')));
    expect(countBytes(frames)).to.equal(INITIAL_CREDIT_BYTES);
    expect(res.writableFinished).to.equal(false);
    let granted = 0;
    while (countBytes(frames) < total) {
      const held = countBytes(frames);
      link.send({ t: 'credit', id: 'e:1', bytes: held - granted });
      granted = held;
      frames.push(...(await entry.until('chunk')));
    }
    link.send({ t: 'credit', id: 'e:1', bytes: total - granted });
    expect((await entry.until('end')).at(-1)).to.include({ length: total });
  });

  // The link is lost right after the head was sent, and the agent can't know whether the entry got
  // it. The entry reports it in its query, and the head is sent again only if it is missing.
  it('resends the head only to an entry that has not received it', async () => {
    const agent = await start();
    const entry = connectEntry(agent.link);
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

  // The caller of a request that may not be repeated disconnects while it runs. After an abort it
  // would be unknown whether it ran, so a started request runs to its end.
  it('does not abort a started request that may not be repeated', async () => {
    const agent = await start();
    const entry = connectEntry(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1', { mayNotRepeat: true }));
    const { res } = await upstream.next();
    link.send({ t: 'cancel', id: 'e:1' });
    link.send({ t: 'query', id: 'e:1', headReceived: false, received: 0 });
    await entry.until('in-progress');
    res.end();
    expect((await entry.until('end')).at(-1)).to.include({ length: 0 });
  });

  // An entry crashes with requests queued and running here. After the grace period no entry can
  // resume them, so they are cancelled and free their slots.
  it('abandons the attempts of an entry that does not reconnect', async () => {
    const clock = createManualClock();
    const agent = await startTestAgent(upstream.url, { concurrency: 1 }, { clock }, log.url);
    const entry = connectEntry(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    const upstreamClosed = once(res, 'close');
    link.send(dispatchOf('e:2'));
    link.send({ t: 'query', id: 'e:2', headReceived: false, received: 0 });
    await entry.until('in-progress');
    await entry.close();
    while (agent.metrics.counter('link_closed', { reason: 'closed-by-peer' }) === 0) {
      await setImmediate();
    }
    await clock.advance(5_000);
    await upstreamClosed;
    expect(upstream.requests()).to.equal(1);
    expect(agent.metrics.counter('attempts_abandoned', { state: 'queued' })).to.equal(1);
    const stopped = agent.stop();
    await clock.advance(5_000);
    await stopped;
  });

  // Operators stop the data centre of this agent. Entries elsewhere that don't know it yet get "not
  // run" and try another upstream. The entries of its own data centre still have requests to finish,
  // so the agent accepts theirs until they have drained.
  it('refuses requests from other data centres while its own is being stopped', async () => {
    const agent = await start();
    const near = connectEntry(agent.link, 'e');
    const far = connectEntry(agent.link, 'f', true, 'lynnwood');
    const [nearLink, farLink] = await Promise.all([near.nextLink(), far.nextLink()]);
    await declareIntent(log.url, 'dataCentres/kent', { state: 'stopped' });
    await waitForIntentOffset(agent.operators, 0);
    farLink.send(dispatchOf('f:1'));
    expect(readable(await far.until('not-run')).at(-1)).to.include({ reason: 'leaving' });
    nearLink.send(dispatchOf('e:1'));
    (await upstream.next()).res.end('whole');
    expect(textOf(await near.until('end'))).to.equal('whole');
    expect(upstream.requests()).to.equal(1);
  });
});
