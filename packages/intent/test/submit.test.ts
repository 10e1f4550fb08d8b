import { expect } from 'chai';
import type { Fleet, TestNode } from './support/nodes.js';
import { changeClass, createFleet, submitAt, targetAt } from './support/nodes.js';

describe('submitting a change of intent', () => {
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

  const race = async (first: [TestNode, string, number], second: [TestNode, string, number]) => {
    const submitted = [first, second].map(([node, name, ms], index) =>
      submitAt(fleet, node, `id-${index}`, changeClass(name, -1, ms)),
    );
    return Promise.all(submitted);
  };

  it('is accepted once it is read back, and in force at every reader', async () => {
    const outcome = await submitAt(fleet, a, 'id-1', changeClass('live', -1, 800));
    expect(outcome).to.deep.equal({ outcome: 'accepted', version: 0 });
    expect(targetAt(b, 'live')).to.equal(800);
  });

  // Two operators change the same key from the same version at two nodes at once. Both records are
  // appended, and their order in the log decides, at all readers alike. The second operator gets a
  // conflict that names the author of the first.
  it('reports a conflict with the winning version to the loser of a race on one key', async () => {
    const outcomes = await race([a, 'live', 800], [b, 'live', 900]);
    expect(outcomes).to.deep.equal([
      { outcome: 'accepted', version: 0 },
      {
        outcome: 'conflict',
        conflicts: [{ key: 'classes/live', base: -1, version: 0, author: 'a' }],
      },
    ]);
    expect([targetAt(a, 'live'), targetAt(b, 'live')]).to.deep.equal([800, 800]);
  });

  it('accepts both changes of a race on different keys', async () => {
    const outcomes = await race([a, 'live', 800], [b, 'batch', 900]);
    expect(outcomes.map(({ outcome }) => outcome)).to.deep.equal(['accepted', 'accepted']);
  });

  // One operator removes a class while another adds a route to it. Each change is valid alone; the
  // second in the log would leave a route without a class, so replay rejects it.
  it('rejects a change on replay that was valid when it was submitted', async () => {
    await submitAt(fleet, a, 'id-0', changeClass('live', -1, 800));
    const route = { pathPrefix: '/x', service: 's', class: 'live' };
    const outcomes = await Promise.all([
      submitAt(fleet, a, 'id-1', changeClass('live', 0, null)),
      submitAt(fleet, b, 'id-2', { key: 'routes/x', base: -1, value: route }),
    ]);
    expect(outcomes[1]).to.deep.equal({
      outcome: 'invalid',
      faults: ['routes/x: class live does not exist'],
    });
    expect(b.node.current().document.routes).to.deep.equal({});
  });

  it('rejects an invalid change before it is appended', async () => {
    const outcome = await submitAt(fleet, a, 'id-1', {
      key: 'classes/live',
      base: -1,
      value: { latestAnswerMs: -5 },
    });
    expect(outcome.outcome).to.equal('invalid');
    expect(fleet.log.end()).to.equal(0);
  });

  // The log appends the record, and its answer is lost. The writer looks for the id in the records
  // that it reads back and finds it: the operator gets `accepted`, and nothing is appended twice.
  it('looks up the outcome of an append by its id when the answer was lost', async () => {
    a.faults.appends.push('lost-answer');
    const outcome = await submitAt(fleet, a, 'id-1', changeClass('live', -1, 800));
    expect(outcome).to.deep.equal({ outcome: 'accepted', version: 0 });
    expect(fleet.log.counts().appends).to.equal(1);
  });

  it('looks up the outcome before it appends again, also when reads are slow', async () => {
    a.faults.readDelayMs = 1_000;
    a.faults.appends.push('lost-answer');
    const outcome = await submitAt(fleet, a, 'id-1', changeClass('live', -1, 800));
    expect(outcome).to.deep.equal({ outcome: 'accepted', version: 0 });
    expect(fleet.log.counts().appends).to.equal(1);
  });

  it('appends again when the lost append had no effect', async () => {
    a.faults.appends.push('lost-request');
    const outcome = await submitAt(fleet, a, 'id-1', changeClass('live', -1, 800));
    expect(outcome).to.deep.equal({ outcome: 'accepted', version: 0 });
    expect(fleet.log.counts().appends).to.equal(2);
  });

  // The log goes down after it has appended the record, for longer than the submission timeout. The
  // operator gets `unknown` with the id, repeats the submission after the outage at another node,
  // and gets the outcome of the one record.
  it('returns unknown in an outage, and the outcome when repeated with the same id', async () => {
    a.faults.appends.push('lost-answer');
    const change = changeClass('live', -1, 800);
    const pending = submitAt(fleet, a, 'id-1', change);
    fleet.log.faults.down = true;
    expect(await pending).to.deep.equal({ outcome: 'unknown', id: 'id-1' });
    fleet.log.faults.down = false;
    await fleet.run(5_000);
    const again = await submitAt(fleet, b, 'id-1', change);
    expect(again).to.deep.equal({ outcome: 'accepted', version: 0 });
    expect(fleet.log.end()).to.equal(1);
  });

  // A delayed append reaches the log after its retry with the same id, and after a later change of
  // the key. It must not bring the old value back.
  it('applies a record that is appended twice once', async () => {
    const change = changeClass('live', -1, 800);
    await submitAt(fleet, a, 'id-1', change);
    await submitAt(fleet, b, 'id-2', changeClass('live', 0, 900));
    await submitAt(fleet, b, 'id-3', changeClass('live', 1, null));
    fleet.log.append({ kind: 'change', id: 'id-1', author: 'a', at: 0, changes: [change] });
    await fleet.run(10);
    expect(a.node.current().offset).to.equal(3);
    expect(targetAt(a, 'live')).to.equal(undefined);
    expect(a.metrics.counter('intent_record', { step: 'duplicate' })).to.equal(1);
  });

  it('rejects an id that was used for another change', async () => {
    await submitAt(fleet, a, 'id-1', changeClass('live', -1, 800));
    const outcome = await submitAt(fleet, a, 'id-1', changeClass('batch', -1, 800));
    expect(outcome).to.deep.equal({
      outcome: 'invalid',
      faults: ['id id-1: used for another change before'],
    });
  });
});
