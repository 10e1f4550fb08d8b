import type { AttemptId, Dispatch } from '@plantaindrum/link';
import { createLogStandIn } from '@plantaindrum/stand-ins';
import type { LogStandIn } from '@plantaindrum/stand-ins';
import { expect } from 'chai';
import { startTestAgent } from './support/agent.js';
import { createFakeEntry, dispatchOf, readable, textOf } from './support/entry.js';
import { createFakeUpstream } from './support/upstream.js';
import type { FakeUpstream } from './support/upstream.js';

const keyedOf = (id: AttemptId, overrides: Partial<Dispatch> = {}): Dispatch =>
  dispatchOf(id, {
    class: 'title-check',
    mayNotRepeat: true,
    path: '/title-check',
    idempotency: { key: 'order-1', bodyHash: 'a'.repeat(64) },
    ...overrides,
  });

describe('requests with an idempotency key', () => {
  let log: LogStandIn;
  const upstreams: FakeUpstream[] = [];
  const resources: { close(): Promise<void> }[] = [];

  beforeEach(async () => {
    log = await createLogStandIn();
  });

  afterEach(async () => {
    await Promise.all(resources.splice(0).map((resource) => resource.close()));
    await Promise.all(upstreams.splice(0).map((upstream) => upstream.close()));
    await log.close();
  });

  /** Starts an agent with its upstream, and an entry that is connected to it. */
  const startNode = async (instance: string) => {
    const upstream = await createFakeUpstream();
    upstreams.push(upstream);
    const agent = await startTestAgent(upstream.url, {}, {}, log.url);
    const entry = createFakeEntry(agent.link, instance);
    resources.push({ close: agent.stop }, entry);
    const link = await entry.nextLink();
    return { agent, upstream, entry, link };
  };

  const countUpstreamRequests = (): number =>
    upstreams.reduce((sum, upstream) => sum + upstream.requests(), 0);

  // A client repeats a request with the same key through another entry while the first still runs.
  // Only the first runs, and the repeat ends as unknown. Once the first has ended, a repeat gets its
  // answer.
  it('run at most once over two agents, and a repeat gets the stored answer', async () => {
    const one = await startNode('e');
    const two = await startNode('f');
    one.link.send(keyedOf('e:1'));
    const { res } = await one.upstream.next();
    two.link.send(keyedOf('f:1'));
    expect(readable(await two.entry.until('unknown')).at(-1)).to.include({ reason: 'claim-lost' });
    res.setHeader('content-type', 'application/json');
    res.end('{"title":"clear"}');
    await one.entry.until('end');
    await log.waitFor(({ records }) => records === 3);
    two.link.send(keyedOf('f:2'));
    const repeat = await two.entry.until('end');
    expect(repeat[0]).to.deep.include({
      t: 'head',
      headers: { 'content-type': 'application/json', 'x-plantaindrum-replayed': 'true' },
    });
    expect(textOf(repeat)).to.equal('{"title":"clear"}');
    two.link.send(keyedOf('f:3', { idempotency: { key: 'order-1', bodyHash: 'b'.repeat(64) } }));
    expect(readable(await two.entry.until('not-run')).at(-1)).to.include({
      reason: 'claim-key-reused',
    });
    expect(countUpstreamRequests()).to.equal(1);
  });

  // A client repeats a request while the first one runs, after it ran with an answer too long to be
  // stored, or after the key has expired. After "not run" the client could send the request under a
  // new key, and it would run twice. So each repeat ends as unknown, and nothing runs.
  it('never report "not run" for a repeat when the first request runs, has run or may have run', async () => {
    const { entry, link, upstream } = await startNode('e');
    const replyTo = async (id: AttemptId, overrides: Partial<Dispatch> = {}) => {
      link.send(keyedOf(id, overrides));
      const [end] = readable([await entry.next()]);
      return end;
    };
    link.send(keyedOf('e:1'));
    const { res } = await upstream.next();
    await entry.until('started');
    expect(await replyTo('e:2')).to.include({ t: 'unknown', reason: 'duplicate-in-progress' });
    res.end('x'.repeat(2_000));
    await entry.until('end');
    await log.waitFor(({ records }) => records === 2);
    expect(await replyTo('e:3')).to.include({ t: 'unknown', reason: 'duplicate-known' });
    const key = '01890a5d-ac96-774b-bcce-b302099a8057';
    const expired = { idempotency: { key, bodyHash: 'a'.repeat(64) } };
    expect(await replyTo('e:4', expired)).to.include({ t: 'unknown', reason: 'claim-key-expired' });
    expect(countUpstreamRequests()).to.equal(1);
  });

  // While the log is down, nothing proves that a request with a key has not run before. It is refused
  // immediately and not run; requests without a key don't need the log and are served.
  it('are refused while the log is down', async () => {
    const node = await startNode('e');
    log.setFaults({ outage: 'all' });
    node.link.send(keyedOf('e:1'));
    expect(readable(await node.entry.until('not-run')).at(-1)).to.include({
      reason: 'claim-log-down',
    });
    node.link.send(dispatchOf('e:2'));
    (await node.upstream.next()).res.end('answer');
    expect(textOf(await node.entry.until('end'))).to.equal('answer');
    expect(countUpstreamRequests()).to.equal(1);
  });

  // The append of the claim takes effect, but its answer is lost. Reading the log shows the claim, so
  // the request runs, once.
  it('run once when the answer to the append is lost', async () => {
    const node = await startNode('e');
    log.setFaults({ loseAnswers: 1 });
    node.link.send(keyedOf('e:1'));
    (await node.upstream.next()).res.end('clear');
    expect(textOf(await node.entry.until('end'))).to.equal('clear');
    expect(countUpstreamRequests()).to.equal(1);
  });

  // The upstream closes the connection after it received the request. It is unknown whether the
  // request ran, so its key stays claimed: a repeat is never run, also not at another agent.
  it('never run again after an unknown outcome', async () => {
    const one = await startNode('e');
    const two = await startNode('f');
    one.link.send(keyedOf('e:1'));
    (await one.upstream.next()).req.socket.destroy();
    await one.entry.until('unknown');
    two.link.send(keyedOf('f:1'));
    expect(readable(await two.entry.until('unknown')).at(-1)).to.include({ reason: 'claim-lost' });
    expect(countUpstreamRequests()).to.equal(1);
  });

  // The upstream refuses the connection, so the request certainly did not run. Its key is released,
  // and the same request runs at another upstream.
  it('run at another upstream after a certain "not run"', async () => {
    const one = await startNode('e');
    const two = await startNode('f');
    await one.upstream.close();
    one.link.send(keyedOf('e:1'));
    await one.entry.until('not-run');
    two.link.send(keyedOf('f:1'));
    (await two.upstream.next()).res.end('clear');
    expect(textOf(await two.entry.until('end'))).to.equal('clear');
  });

  // A client reuses its key at another path with the same body. That is a different request: replaying
  // the answer of the first one would be wrong, so it is refused.
  it('are refused when the key is reused at another path', async () => {
    const node = await startNode('e');
    node.link.send(keyedOf('e:1', { path: '/title-check' }));
    (await node.upstream.next()).res.end('clear');
    await node.entry.until('end');
    node.link.send(keyedOf('e:2', { path: '/bid-sheet' }));
    expect(readable(await node.entry.until('not-run')).at(-1)).to.include({
      reason: 'claim-key-reused',
    });
  });

  // The caller of a request with a key disconnects while it runs. An abort would leave the key claimed
  // with an unknown outcome for good, so the request runs to its end, and a repeat gets the answer.
  it('run to their end when the caller disconnects', async () => {
    const node = await startNode('e');
    node.link.send(keyedOf('e:1', { mayNotRepeat: false }));
    const { res } = await node.upstream.next();
    node.link.send({ t: 'cancel', id: 'e:1' });
    node.link.send({ t: 'query', id: 'e:1', headReceived: false, received: 0 });
    await node.entry.until('in-progress');
    res.end('clear');
    await log.waitFor(({ records }) => records === 2);
    node.link.send(keyedOf('e:2', { mayNotRepeat: false }));
    expect(textOf(await node.entry.until('chunk'))).to.equal('clear');
  });
});
