import { expect } from 'chai';
import type { Fleet, TestNode } from './support/nodes.js';
import { changeClass, createFleet, submitAt, targetAt } from './support/nodes.js';

describe('distribution of intent', () => {
  let fleet: Fleet;
  let a: TestNode;
  let b: TestNode;

  beforeEach(async () => {
    fleet = createFleet();
    a = fleet.start('a');
    b = fleet.start('b');
    await fleet.run(10);
  });

  afterEach(() => fleet.closeAll());

  const setLive = (at: TestNode, target: number) => {
    const base = at.node.current().versions['classes/live'] ?? -1;
    return submitAt(fleet, at, `set-${target}`, changeClass('live', base, target));
  };

  // Node b can't reach the log, its peer a can. A change is accepted at a. The next heartbeat
  // carries a higher offset than b's, and b fetches the record from a.
  it('fetches a change from a peer at a node that is cut off from the log', async () => {
    fleet.link(a, b);
    b.faults.down = true;
    await setLive(a, 100);
    await fleet.run(1_000);
    expect(targetAt(b, 'live')).to.equal(100);
    expect(b.metrics.counter('intent_gap_noticed')).to.equal(1);
  });

  it('does not fetch from peers what arrives from the log in time', async () => {
    fleet.link(a, b);
    await setLive(a, 100);
    await fleet.run(10_000);
    expect(targetAt(b, 'live')).to.equal(100);
    expect(b.metrics.counter('intent_gap_fetched')).to.equal(0);
  });

  // Node b is cut off from the log and from its peer for a minute while changes are made. It keeps
  // serving with what it has and reports that it is isolated. When the peer is back it gets all changes.
  it('reports that it is isolated, and catches up when a peer is back', async () => {
    fleet.link(a, b);
    await setLive(a, 100);
    await fleet.run(100);
    b.cutOff = true;
    b.faults.down = true;
    await setLive(a, 200);
    await fleet.run(60_000);
    expect(targetAt(b, 'live')).to.equal(100);
    expect(b.node.freshness()).to.include({
      state: 'isolated',
      reason: 'log-and-peers-unreachable',
    });
    expect(b.metrics.counter('intent_state', { state: 'isolated' })).to.equal(1);
    b.cutOff = false;
    await fleet.run(2_500);
    expect(targetAt(b, 'live')).to.equal(200);
    expect(b.node.freshness().state).to.equal('fresh');
  });

  // A data centre with two nodes is cut off from the log and from the others, with its own links up.
  // A change is accepted elsewhere. The two nodes keep serving and report that their intent may be
  // stale. When a single link to another data centre is back, both catch up.
  it('reports that a cut-off data centre is stale, and catches up over one link', async () => {
    const kent = [fleet.start('k1'), fleet.start('k2')] as const;
    fleet.link(...kent);
    fleet.link(a, b);
    await setLive(a, 100);
    await fleet.run(100);
    kent.forEach(({ faults }) => {
      Object.assign(faults, { down: true });
    });
    await setLive(a, 200);
    await fleet.run(30_000);
    const targets = () => kent.map((node) => targetAt(node, 'live'));
    const states = () => kent.map(({ node }) => node.freshness().state);
    expect([targets(), states()]).to.deep.equal([
      [100, 100],
      ['stale', 'stale'],
    ]);
    fleet.link(kent[0], b);
    await fleet.run(3_000);
    expect([targets(), states()]).to.deep.equal([
      [200, 200],
      ['fresh', 'fresh'],
    ]);
  });

  // The log is down for all nodes, so nobody can change intent and they keep serving. A node that
  // reaches its peers must not report that it is isolated.
  it('is stale, not isolated, while the log is down for all', async () => {
    fleet.link(a, b);
    await setLive(a, 100);
    fleet.log.faults.down = true;
    await fleet.run(60_000);
    expect(a.node.freshness()).to.include({ state: 'stale', reason: 'log-unreachable' });
    expect(await setLive(a, 200)).to.deep.equal({ outcome: 'unknown', id: 'set-200' });
    fleet.log.faults.down = false;
    await fleet.run(5_000);
    expect([targetAt(a, 'live'), targetAt(b, 'live')]).to.deep.equal([100, 100]);
    expect(await setLive(b, 200)).to.include({ outcome: 'accepted' });
  });

  // The log is down when a node starts. It must not serve an older state than callers have seen,
  // so it has to reach the highest offset of its peers before it is ready.
  it('becomes ready with the intent of its peers while the log is down', async () => {
    await setLive(a, 100);
    await fleet.run(100);
    b.faults.down = true;
    await setLive(a, 200);
    fleet.log.faults.down = true;
    const c = fleet.start('c');
    await fleet.run(5_000);
    expect(c.node.freshness()).to.include({
      caughtUp: false,
      reason: 'log-and-peers-unreachable',
    });
    fleet.link(c, b);
    fleet.link(c, a);
    await fleet.run(3_000);
    expect(targetAt(c, 'live')).to.equal(200);
    expect(c.node.freshness()).to.include({ caughtUp: true, state: 'stale' });
  });

  // A peer's frame carried a higher offset, and the peer no longer answers. Other peers confirm a
  // lower one. A node that became ready at that could serve an older state than callers have seen.
  it('does not become ready below the highest offset received from a peer', async () => {
    await setLive(a, 100);
    await fleet.run(100);
    fleet.log.faults.down = true;
    const c = fleet.start('c');
    const silent = { name: 'silent', fetch: async () => undefined };
    c.node.addPeer(silent);
    c.node.handlePeerOffset(silent, 7);
    fleet.link(c, a);
    await fleet.run(10_000);
    expect(c.node.freshness()).to.include({ caughtUp: false, behind: 7 });
    c.node.removePeer(silent);
    await fleet.run(3_000);
    expect(c.node.freshness()).to.include({ caughtUp: true, behind: 0 });
  });

  // The log is slow, and the only peer was cut off from it before the last change. The peer answers
  // long before the log does; the starting node must wait for the log all the same.
  it('waits for a slow log instead of trusting a peer that is cut off from it', async () => {
    await setLive(a, 100);
    await fleet.run(100);
    b.faults.down = true;
    await setLive(a, 200);
    await fleet.run(20_000);
    fleet.log.faults.responseDelayMs = 3_000;
    const c = fleet.start('c');
    fleet.link(c, b);
    await fleet.run(2_500);
    expect(c.node.freshness().caughtUp).to.equal(false);
    await fleet.run(10_000);
    expect(c.node.freshness().caughtUp).to.equal(true);
    expect(targetAt(c, 'live')).to.equal(200);
  });

  it('does not become ready with the intent of peers that are starting themselves', async () => {
    fleet.log.faults.down = true;
    const c = fleet.start('c');
    const d = fleet.start('d');
    fleet.link(c, d);
    await fleet.run(60_000);
    expect(c.node.freshness()).to.include({ caughtUp: false, state: 'starting' });
    expect(d.node.freshness()).to.include({ caughtUp: false, state: 'starting' });
  });

  it('hands over a full snapshot when its history does not reach back far enough', async () => {
    const c = fleet.start('c', { limits: { historyLimit: 2 } });
    await fleet.run(10);
    for (const target of [100, 200, 300, 400]) await setLive(c, target);
    fleet.log.faults.down = true;
    const d = fleet.start('d');
    fleet.link(c, d);
    await fleet.run(3_000);
    expect(d.node.current()).to.deep.equal(c.node.current());
  });

  // Every node is replaced, one after the other, while changes are made and the log is down every
  // other time. No new node may become ready at a lower offset than the node that it replaces.
  it('never goes back while every node is replaced', async () => {
    let nodes = [a, b];
    fleet.link(a, b);
    await setLive(a, 1);
    for (let round = 2; round < 12; round += 1) {
      fleet.log.faults.down = round % 2 === 0;
      const [oldest, other] = nodes as [TestNode, TestNode];
      const seen = oldest.node.current().offset;
      const fresh = fleet.start(`n${round}`);
      fleet.link(fresh, other);
      await fleet.run(5_000);
      expect(fresh.node.freshness().caughtUp).to.equal(true);
      expect(fresh.node.current().offset).to.be.at.least(seen);
      await oldest.close();
      nodes = [other, fresh];
      if (!fleet.log.faults.down) {
        expect(await setLive(fresh, round)).to.include({ outcome: 'accepted' });
      }
    }
    expect(targetAt(nodes[1] as TestNode, 'live')).to.equal(11);
  });

  // The platform restores the log from an old copy that ends before what nodes have replayed. The
  // log has lost records that operators saw accepted; the nodes must keep them.
  it('keeps its intent when the log ends earlier than before', async () => {
    await setLive(a, 100);
    fleet.log.truncate(0);
    await fleet.run(10_000);
    expect(targetAt(a, 'live')).to.equal(100);
    expect(a.metrics.counter('intent_log_behind')).to.be.greaterThan(0);
    expect(a.node.freshness().state).to.equal('isolated');
  });

  // There are many agents, so they don't read the log while a peer confirms their intent.
  it('reads the log only while no peer confirms the intent, if it follows peers', async () => {
    const c = fleet.start('c', { follow: 'peers' });
    fleet.link(a, c);
    await fleet.run(5_000);
    c.faults.down = true;
    await setLive(a, 100);
    await fleet.run(1_000);
    expect(targetAt(c, 'live')).to.equal(100);
    await fleet.run(60_000);
    expect(c.metrics.counter('intent_log_read_failed', { kind: 'unavailable' })).to.equal(0);
    expect(c.node.freshness().state).to.equal('fresh');
    c.faults.down = false;
    a.cutOff = true;
    await setLive(b, 200);
    await fleet.run(10_000);
    expect(targetAt(c, 'live')).to.equal(200);
  });
});
