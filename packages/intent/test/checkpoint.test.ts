import { expect } from 'chai';
import { checkpointRecords } from '../src/core/document/checkpoint.js';
import { startCheckpointer } from '../src/index.js';
import type { Checkpointer } from '../src/index.js';
import type { Fleet, TestNode } from './support/nodes.js';
import { changeClass, createFleet, submitAt, targetAt } from './support/nodes.js';

const HOUR = 3_600_000;

describe('checkpoints of intent', () => {
  let fleet: Fleet;
  let a: TestNode;
  let running: Checkpointer[] = [];

  beforeEach(async () => {
    fleet = createFleet();
    a = fleet.start('a');
    await fleet.run(10);
  });

  afterEach(async () => {
    running.forEach((checkpointer) => checkpointer.close());
    running = [];
    await fleet.closeAll();
  });

  const submitTargets = async (...targets: number[]): Promise<void> => {
    for (const target of targets) {
      const base = a.node.current().versions['classes/live'] ?? -1;
      await submitAt(fleet, a, `set-${target}`, changeClass('live', base, target));
    }
  };

  const checkpointNow = (partKeys?: number) =>
    checkpointRecords(a.node.snapshot(), { id: 'c', at: fleet.clock.now() }, partKeys);

  const checkpointAt = (node: TestNode, recordsBetween?: number): Checkpointer => {
    const { clock, log } = fleet;
    const { metrics } = node;
    const checkpointer = startCheckpointer({
      ...{ node: node.node, log: log.client(), clock, random: () => 0.5, metrics },
      ...{ retentionMs: 8 * HOUR, ...(recordsBetween ? { recordsBetween } : {}) },
    });
    running.push(checkpointer);
    return checkpointer;
  };

  // A node is slow to append a checkpoint, and the key is changed twice in between, so the stale
  // checkpoint comes last. Running readers skip it. A reader that starts from it also replays the
  // records after its as-of offset, so both have the newer changes.
  it('cannot undo a newer change when it is appended late', async () => {
    await submitTargets(100);
    const stale = checkpointNow();
    await submitTargets(200, 300);
    stale.forEach(fleet.log.append);
    fleet.log.expire(1);
    const started = fleet.start('b');
    await fleet.run(10);
    expect([targetAt(a, 'live'), targetAt(started, 'live')]).to.deep.equal([300, 300]);
    expect(started.node.current()).to.deep.equal(a.node.current());
    expect(started.node.freshness()).to.include({ caughtUp: true, behind: 0 });
  });

  // Retention has deleted a record between the checkpoint's as-of offset and the checkpoint. A
  // reader that started from it would miss that change for good, so it stays unready until a later
  // checkpoint.
  it('is not used when records after its as-of offset have been deleted', async () => {
    await submitTargets(100);
    const stale = checkpointNow();
    await submitTargets(200, 300);
    stale.forEach(fleet.log.append);
    fleet.log.expire(2);
    const started = fleet.start('b');
    await fleet.run(10_000);
    expect(started.node.freshness()).to.include({
      caughtUp: false,
      reason: 'no-usable-checkpoint',
    });
    checkpointNow().forEach(fleet.log.append);
    await fleet.run(5_000);
    expect(started.node.current()).to.deep.equal(a.node.current());
    expect(started.node.freshness().caughtUp).to.equal(true);
  });

  // The state is larger than a record, so a checkpoint is appended in parts, one of them twice, with a change
  // in between. A starting reader waits for the last part, and replays the change.
  it('is used once its last part is appended, with the changes between its parts', async () => {
    await submitTargets(100);
    await submitAt(fleet, a, 'other', changeClass('batch', -1, 500));
    const parts = checkpointNow(1);
    fleet.log.expire(2);
    const started = fleet.start('b');
    parts.slice(0, 1).forEach(fleet.log.append);
    parts.slice(0, -1).forEach(fleet.log.append);
    await submitTargets(200);
    await fleet.run(5_000);
    expect(parts.length).to.be.greaterThan(1);
    expect(started.node.freshness().caughtUp).to.equal(false);
    parts.slice(-1).forEach(fleet.log.append);
    await fleet.run(5_000);
    expect(started.node.current()).to.deep.equal(a.node.current());
    expect(targetAt(started, 'live')).to.equal(200);
  });

  it('is not assembled from parts of two writers', async () => {
    await submitTargets(100);
    await submitAt(fleet, a, 'other', changeClass('batch', -1, 500));
    fleet.log.expire(2);
    const [first, ...rest] = checkpointNow(1);
    fleet.log.append(first);
    rest.map((record) => ({ ...record, id: 'another' })).forEach(fleet.log.append);
    const started = fleet.start('b');
    await fleet.run(5_000);
    expect(started.node.freshness().caughtUp).to.equal(false);
  });

  it('is written by one of many nodes when a quarter of the retention has passed', async () => {
    await submitTargets(100);
    const nodes = ['b', 'c', 'd'].map((name) => fleet.start(name));
    nodes.forEach((node) => checkpointAt(node));
    await fleet.run(2 * HOUR - 60_000);
    expect(fleet.log.end()).to.equal(1);
    await fleet.run(2 * HOUR);
    expect(fleet.log.end()).to.be.within(2, 4);
    expect(fleet.log.records.at(-1)?.value).to.have.property('kind', 'checkpoint');
  });

  it('is written after a number of records, however recent they are', async () => {
    checkpointAt(a, 3);
    await submitTargets(100, 200);
    await fleet.run(2 * HOUR - 300_000);
    const before = fleet.log.end();
    await submitTargets(300);
    await fleet.run(2 * HOUR);
    expect([before, fleet.log.end()]).to.deep.equal([2, 4]);
  });

  // The log is down for longer than its retention and comes back empty. The running nodes still hold
  // the intent and write a checkpoint at once, so that a node that starts later can become ready.
  it('is written at once after an outage longer than the retention', async () => {
    await submitTargets(100);
    checkpointAt(a);
    fleet.log.faults.down = true;
    await fleet.run(9 * HOUR);
    fleet.log.expire(fleet.log.end());
    fleet.log.faults.down = false;
    const started = fleet.start('b');
    await fleet.run(10_000);
    expect(started.node.freshness().caughtUp).to.equal(false);
    await fleet.run(120_000);
    expect(started.node.freshness().caughtUp).to.equal(true);
    expect(targetAt(started, 'live')).to.equal(100);
  });

  it('keeps removed keys removed and used ids used', async () => {
    await submitTargets(100);
    await submitAt(fleet, a, 'remove', changeClass('live', 0, null));
    checkpointNow().forEach(fleet.log.append);
    fleet.log.expire(2);
    const started = fleet.start('b');
    await fleet.run(10);
    const again = await submitAt(fleet, started, 'set-100', changeClass('live', -1, 100));
    expect(again).to.deep.equal({ outcome: 'accepted', version: 0 });
    const other = await submitAt(fleet, started, 'other', changeClass('live', -1, 100));
    expect(other.outcome).to.equal('conflict');
    expect(targetAt(started, 'live')).to.equal(undefined);
  });
});
