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

describe('keyed calls', () => {
  let log: LogStandIn;
  const upstreams: FakeUpstream[] = [];
  const opened: { close(): Promise<void> }[] = [];

  beforeEach(async () => {
    log = await createLogStandIn();
  });

  afterEach(async () => {
    await Promise.all(opened.splice(0).map((one) => one.close()));
    await Promise.all(upstreams.splice(0).map((one) => one.close()));
    await log.close();
  });

  /** An agent with its upstream, and an entry that is linked to it. */
  const startNode = async (instance: string) => {
    const upstream = await createFakeUpstream();
    upstreams.push(upstream);
    const agent = await startTestAgent(upstream.url, {}, {}, log.url);
    const entry = createFakeEntry(agent.link, instance);
    opened.push({ close: agent.stop }, entry);
    const link = await entry.nextLink();
    return { agent, upstream, entry, link };
  };

  const runs = (): number => upstreams.reduce((sum, upstream) => sum + upstream.requests(), 0);

  // A client comes again with the same key through another entry, while its first call still runs.
  // One call runs; the other is told so. Once the first has ended, a repeat gets its answer.
  it('run at most once over two agents, and a repeat gets the known answer', async () => {
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
    expect(runs()).to.equal(1);
  });

  // A client comes again with its key while its call runs, after it ran with an answer too long to be
  // kept, or after the key's time is over. Told "not run", the client would send the call under a new
  // key, and it would run twice. So each repeat ends as unknown, and nothing runs.
  it('never call a repeat "not run" when the key\'s call runs, has run, or may have run', async () => {
    const { entry, link, upstream } = await startNode('e');
    const endOf = async (id: AttemptId, overrides: Partial<Dispatch> = {}) => {
      link.send(keyedOf(id, overrides));
      const [end] = readable([await entry.next()]);
      return end;
    };
    link.send(keyedOf('e:1'));
    const { res } = await upstream.next();
    await entry.until('started');
    expect(await endOf('e:2')).to.include({ t: 'unknown', reason: 'duplicate-in-progress' });
    res.end('x'.repeat(2_000));
    await entry.until('end');
    await log.waitFor(({ records }) => records === 2);
    expect(await endOf('e:3')).to.include({ t: 'unknown', reason: 'duplicate-known' });
    const key = '01890a5d-ac96-774b-bcce-b302099a8057';
    const expired = { idempotency: { key, bodyHash: 'a'.repeat(64) } };
    expect(await endOf('e:4', expired)).to.include({ t: 'unknown', reason: 'claim-key-expired' });
    expect(runs()).to.equal(1);
  });

  // The log is down, so nobody can prove that a keyed call has not run before. It is refused at
  // once and not run; calls without a key don't need the log and go on.
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
    expect(runs()).to.equal(1);
  });

  // The claim's append takes effect, but its answer is lost. Replay shows the claim in the log, so
  // the call runs, once.
  it('run once when the answer to the append is lost', async () => {
    const node = await startNode('e');
    log.setFaults({ loseAnswers: 1 });
    node.link.send(keyedOf('e:1'));
    (await node.upstream.next()).res.end('clear');
    expect(textOf(await node.entry.until('end'))).to.equal('clear');
    expect(runs()).to.equal(1);
  });

  // The upstream dies after it was given the call. Nobody knows whether it ran, so the key stays
  // taken: a repeat, also elsewhere, is never run.
  it('never run again after an unknown outcome', async () => {
    const one = await startNode('e');
    const two = await startNode('f');
    one.link.send(keyedOf('e:1'));
    (await one.upstream.next()).req.socket.destroy();
    await one.entry.until('unknown');
    two.link.send(keyedOf('f:1'));
    expect(readable(await two.entry.until('unknown')).at(-1)).to.include({ reason: 'claim-lost' });
    expect(runs()).to.equal(1);
  });

  // The upstream refuses the connection, so the call provably didn't run. Its key is released, and
  // the same call runs at another upstream.
  it('run elsewhere after a proved "not run"', async () => {
    const one = await startNode('e');
    const two = await startNode('f');
    await one.upstream.close();
    one.link.send(keyedOf('e:1'));
    await one.entry.until('not-run');
    two.link.send(keyedOf('f:1'));
    (await two.upstream.next()).res.end('clear');
    expect(textOf(await two.entry.until('end'))).to.equal('clear');
  });

  // A client uses its key again at another path, with the same (empty) body. That is another call:
  // giving it the first one's answer would be wrong, so it is refused.
  it('are refused when the key comes back at another path', async () => {
    const node = await startNode('e');
    node.link.send(keyedOf('e:1', { path: '/title-check' }));
    (await node.upstream.next()).res.end('clear');
    await node.entry.until('end');
    node.link.send(keyedOf('e:2', { path: '/bid-sheet' }));
    expect(readable(await node.entry.until('not-run')).at(-1)).to.include({
      reason: 'claim-key-reused',
    });
  });

  // The caller of a keyed call goes away while it runs. Cutting the call off would leave its key
  // taken with an unknown outcome for good, so it runs to its end, and a repeat learns the answer.
  it('run to their end when the caller goes away', async () => {
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
