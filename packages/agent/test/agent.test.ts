import { once } from 'node:events';
import { expect } from 'chai';
import { createFakeEntry, dispatchOf, readable, textOf } from './support/entry.js';
import type { FakeEntry } from './support/entry.js';
import { startTestAgent } from './support/agent.js';
import { createFakeUpstream } from './support/upstream.js';
import type { FakeUpstream } from './support/upstream.js';

describe('agent', () => {
  let upstream: FakeUpstream;
  const resources: { close(): Promise<void> }[] = [];

  beforeEach(async () => {
    upstream = await createFakeUpstream();
  });

  afterEach(async () => {
    await Promise.all(resources.splice(0).map((resource) => resource.close()));
    await upstream.close();
  });

  const start = async (limits: Record<string, number> = {}) => {
    const agent = await startTestAgent(upstream.url, limits);
    resources.push({ close: agent.stop });
    return agent;
  };

  const connectEntry = (address: string, grantsCredit = true): FakeEntry => {
    const entry = createFakeEntry(address, 'e', grantsCredit);
    resources.push(entry);
    return entry;
  };

  it('carries a streamed answer from the upstream to the entry', async () => {
    const agent = await start();
    const entry = connectEntry(agent.link);
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

  // An engine that answers 503 to every completion. Forwarded as the answer, the 503 would neither
  // tell the caller whether the request ran nor carry a Retry-After, though other engines can serve
  // it; and an engine that ends requests so quickly would attract more of them. The entry gets the
  // outcome "upstream-refused" instead.
  it('reports a refusal of the engine as an outcome, not as an answer', async () => {
    const agent = await start();
    const entry = connectEntry(agent.link);
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

  it('sends the upstream at most `concurrency` requests at once, in order', async () => {
    const agent = await start({ concurrency: 1 });
    const entry = connectEntry(agent.link);
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

  // A cancel or query overtakes the dispatch of its attempt, as they are sent on different links. The
  // late dispatch must not start: the caller has already got "not run".
  it('never starts an attempt that was cancelled or queried before it arrived', async () => {
    const agent = await start();
    const entry = connectEntry(agent.link);
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

  // The caller disconnects while its request is queued or streaming. Such a request must not occupy
  // the upstream: it is removed from the queue, or its connection to the upstream is closed.
  it('cancels queued and running attempts', async () => {
    const agent = await start({ concurrency: 1 });
    const entry = connectEntry(agent.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    link.send(dispatchOf('e:2'));
    const { res } = await upstream.next();
    const upstreamClosed = once(res, 'close');
    link.send({ t: 'cancel', id: 'e:2' });
    expect(readable(await entry.until('not-run')).at(-1)).to.include({ reason: 'cancelled' });
    link.send({ t: 'cancel', id: 'e:1' });
    await upstreamClosed;
    expect(readable(await entry.until('unknown')).at(-1)).to.include({ reason: 'cancelled' });
    expect(upstream.requests()).to.equal(1);
  });

  it('reports "not run" when the upstream refuses the connection', async () => {
    const agent = await start();
    await upstream.close();
    const entry = connectEntry(agent.link);
    (await entry.nextLink()).send(dispatchOf('e:1'));
    expect(readable(await entry.until('not-run'))).to.deep.equal([
      { t: 'not-run', id: 'e:1', reason: 'upstream-unreachable', retryAfterMs: 1000 },
    ]);
  });

  // The upstream closes the connection after it received the request, before or during its answer.
  // The request may have run, so the outcome is unknown, and the partial answer never looks complete.
  it('reports "unknown" when the upstream closes the connection early', async () => {
    const agent = await start();
    const entry = connectEntry(agent.link);
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

  // The link between entry and agent is lost during an answer. The same entry instance reconnects,
  // reports what it has received, and gets the rest, so that the caller's answer is complete.
  it('resumes an answer over the next link of the same entry', async () => {
    const agent = await start();
    const entry = connectEntry(agent.link, false);
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

  it('refuses queued and new requests and finishes running ones when it stops', async () => {
    const agent = await startTestAgent(upstream.url, { concurrency: 1 });
    const entry = connectEntry(agent.link);
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

  // A caller sets a priority in the body to overtake all other requests. The engine must get the
  // priority of the request's class.
  it('replaces the priority in the body by that of the class', async () => {
    const agent = await start();
    const entry = connectEntry(agent.link);
    const link = await entry.nextLink();
    const body = Buffer.from('{"prompt":"hello","priority":-9}');
    link.send(dispatchOf('e:1', { priority: 'background', body }));
    const seen = await upstream.next();
    expect(JSON.parse(seen.body)).to.deep.equal({ prompt: 'hello', priority: 2 });
    seen.res.end();
    await entry.until('end');
  });

  // Many queued requests with large bodies, each within the limits, could together fill the memory of
  // the agent. A request that exceeds the total is refused and not run.
  it('limits the total size of the request bodies in memory', async () => {
    const agent = await startTestAgent(
      upstream.url,
      { concurrency: 1 },
      { attemptLimits: { maxHeldBytes: 25 } },
    );
    resources.push({ close: agent.stop });
    const entry = connectEntry(agent.link);
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
