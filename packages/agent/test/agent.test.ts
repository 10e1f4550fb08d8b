import { once } from 'node:events';
import { expect } from 'chai';
import { createFakeEntry, dispatchOf, readable, textOf } from './support/entry.js';
import type { FakeEntry } from './support/entry.js';
import { startTestAgent } from './support/agent.js';
import { createFakeUpstream } from './support/upstream.js';
import type { FakeUpstream } from './support/upstream.js';

describe('agent', () => {
  let upstream: FakeUpstream;
  const opened: { close(): Promise<void> }[] = [];

  beforeEach(async () => {
    upstream = await createFakeUpstream();
  });

  afterEach(async () => {
    await Promise.all(opened.splice(0).map((one) => one.close()));
    await upstream.close();
  });

  const start = async (limits: Record<string, number> = {}) => {
    const agent = await startTestAgent(upstream.url, limits);
    opened.push({ close: agent.stop });
    return agent;
  };

  const enter = (address: string, grantsCredit = true): FakeEntry => {
    const entry = createFakeEntry(address, 'e', grantsCredit);
    opened.push(entry);
    return entry;
  };

  it('carries a streamed answer from the upstream to the entry', async () => {
    const agent = await start();
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1', { resumeAfter: '4' }));
    const { req, res, body } = await upstream.next();
    expect([req.method, req.url, body]).to.deep.equal([
      'POST',
      '/v1/completions',
      '{"prompt":"hello","priority":0}',
    ]);
    expect(req.headers['last-event-id']).to.equal('4');
    res.sendDate = false;
    res.writeHead(200, { 'content-type': 'text/event-stream' });
    res.write('data: one\n\n');
    const first = await entry.until('chunk');
    res.end('data: [DONE]\n\n');
    expect(readable([...first, ...(await entry.until('end'))])).toMatchSnapshot();
  });

  // An engine is up and answers 503 to every completion. Passed on, callers would get it as their
  // answer, with neither a word on whether it ran nor a Retry-After, though other engines serve; and
  // so quick an end would draw ever more requests. The entry learns that it was refused instead.
  it('does not pass off the refusal of an engine as an answer', async () => {
    const agent = await start();
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    res.writeHead(503, { 'content-type': 'application/json' });
    res.end('{"error":"unavailable"}');
    expect(readable(await entry.until('unknown'))).to.deep.equal([
      { t: 'started', id: 'e:1' },
      { t: 'unknown', id: 'e:1', reason: 'upstream-refused' },
    ]);
  });

  it('hands the upstream no more than its concurrency, in order', async () => {
    const agent = await start({ concurrency: 1 });
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1', { body: Buffer.from('a') }));
    link.send(dispatchOf('e:2', { body: Buffer.from('b') }));
    const first = await upstream.next();
    expect(first.body).to.equal('a');
    expect(upstream.requests()).to.equal(1);
    first.res.end('A');
    await entry.until('end');
    const second = await upstream.next();
    second.res.end('B');
    expect(textOf(await entry.until('end'))).to.equal('B');
  });

  // The entry gives an attempt up, and its cancel reaches the agent before its dispatch does, as
  // they travel on different links. The late dispatch must not start: the caller was told "not run".
  it('never starts an attempt that was cancelled or queried before it arrived', async () => {
    const agent = await start();
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send({ t: 'cancel', id: 'e:1' });
    link.send(dispatchOf('e:1'));
    expect((await entry.next()).t).to.equal('not-run');
    expect((await entry.next()).t).to.equal('not-run');
    link.send({ t: 'query', id: 'e:2', headReceived: false, received: 0 });
    expect(readable(await entry.until('not-run'))).to.deep.equal([
      { t: 'not-run', id: 'e:2', reason: 'never-arrived', retryAfterMs: 0 },
    ]);
    link.send(dispatchOf('e:2'));
    expect((await entry.next()).t).to.equal('not-run');
    expect(upstream.requests()).to.equal(0);
    expect(agent.metrics.counter('dispatch_refused', { reason: 'refuse-tombstone' })).to.equal(2);
  });

  // The caller goes away while its request waits or streams. Work nobody waits for must not keep
  // the upstream busy: it leaves the queue, and the upstream's connection is closed.
  it('cancels in the queue and at the upstream', async () => {
    const agent = await start({ concurrency: 1 });
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    link.send(dispatchOf('e:2'));
    const { res } = await upstream.next();
    const cut = once(res, 'close');
    link.send({ t: 'cancel', id: 'e:2' });
    expect(readable(await entry.until('not-run')).at(-1)).to.include({ reason: 'cancelled' });
    link.send({ t: 'cancel', id: 'e:1' });
    await cut;
    expect(readable(await entry.until('unknown')).at(-1)).to.include({ reason: 'cancelled' });
    expect(upstream.requests()).to.equal(1);
  });

  it('says "not run" when the upstream refuses the connection', async () => {
    const agent = await start();
    await upstream.close();
    const entry = enter(agent.link);
    (await entry.nextLink()).send(dispatchOf('e:1'));
    expect(readable(await entry.until('not-run'))).to.deep.equal([
      { t: 'not-run', id: 'e:1', reason: 'upstream-unreachable', retryAfterMs: 1000 },
    ]);
  });

  // The upstream dies after it has been given the request, before or in the middle of its answer.
  // It may have run, so the outcome is unknown, and what was sent never looks like a whole answer.
  it('says "unknown" when the upstream breaks off', async () => {
    const agent = await start();
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    (await upstream.next()).req.socket.destroy();
    expect(readable(await entry.until('unknown')).at(-1)).to.include({
      reason: 'upstream-broke-off',
    });
    link.send(dispatchOf('e:2'));
    const { res } = await upstream.next();
    res.writeHead(200, { 'content-length': '100' });
    res.write('part');
    await entry.until('chunk');
    res.destroy();
    expect((await entry.until('unknown')).map((frame) => frame.t)).to.not.include('end');
  });

  // The cable between entry and agent is pulled in mid answer. The entry comes back as the same
  // instance, says what it holds, and gets the rest: the caller's answer is whole.
  it('goes on with an answer over the next link of the same entry', async () => {
    const agent = await start();
    const entry = enter(agent.link, false);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    res.write('one ');
    expect(textOf(await entry.until('chunk'))).to.equal('one ');
    link.close();
    const second = await entry.nextLink();
    res.end('two');
    second.send({ t: 'query', id: 'e:1', headReceived: true, received: 2 });
    const rest = await entry.until('end');
    expect(textOf(rest)).to.equal('e two');
    expect(rest.map((frame) => frame.t)).to.not.include('head');
    expect(rest.at(-1)).to.include({ length: 7 });
    second.send({ t: 'credit', id: 'e:1', bytes: 5 });
  });

  it('hands queued work back, finishes what runs and says so when it stops', async () => {
    const agent = await startTestAgent(upstream.url, { concurrency: 1 });
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    link.send(dispatchOf('e:2'));
    link.send({ t: 'query', id: 'e:2', headReceived: false, received: 0 });
    await entry.until('in-progress');
    const stopped = agent.stop();
    expect(readable(await entry.until('not-run')).at(-1)).to.include({ reason: 'leaving' });
    link.send(dispatchOf('e:3'));
    expect(readable(await entry.until('not-run')).at(-1)).to.include({ reason: 'leaving' });
    res.end('whole');
    expect(textOf(await entry.until('end'))).to.equal('whole');
    await stopped;
  });

  // A caller writes a priority of its own into the body, to go before everybody else's work. The
  // engine must see the priority of the request's class and nothing else.
  it('tells the engine the priority of the class', async () => {
    const agent = await start();
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    const body = Buffer.from('{"prompt":"hello","priority":-9}');
    link.send(dispatchOf('e:1', { priority: 'background', body }));
    const seen = await upstream.next();
    expect(JSON.parse(seen.body)).to.deep.equal({ prompt: 'hello', priority: 2 });
    seen.res.end();
    await entry.until('end');
  });

  // Many requests with large bodies wait at once. Each fits the limits, and all together would fill
  // the memory of this small process; the one too many is refused, not run.
  it('bounds the bodies that it holds', async () => {
    const agent = await startTestAgent(
      upstream.url,
      { concurrency: 1 },
      { attemptLimits: { heldBytes: 25 } },
    );
    opened.push({ close: agent.stop });
    const entry = enter(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1', { body: Buffer.alloc(20) }));
    const { res } = await upstream.next();
    link.send(dispatchOf('e:2', { body: Buffer.alloc(20) }));
    expect(readable(await entry.until('not-run')).at(-1)).to.include({ reason: 'queue-full' });
    res.end();
    await entry.until('end');
    link.send(dispatchOf('e:3', { body: Buffer.alloc(20) }));
    (await upstream.next()).res.end();
    await entry.until('end');
  });
});
