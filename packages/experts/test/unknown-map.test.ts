import { expect } from 'chai';
import { createFakeGroup } from './fakes/fake-group.js';
import { expectOneMap } from './fakes/faulty-change.js';

// Every agent of a group is replaced at once, as in a rolling upgrade that outran the copies of the
// map that agents keep for each other. The engines step on, but no agent can tell what the map in
// use is. Callers would see the group grow slower for good as popularity drifts: without the map
// no coordinator can plan. It must change to a map that it knows first.
describe('a map that no agent knows', () => {
  it('is replaced by one that plans can start from', async () => {
    const group = createFakeGroup();
    await group.until(() => group.oracle.steps > 20);
    const unknown = group.engines[0]?.version() ?? -1;
    group.names.forEach((_, rank) => {
      group.agent(rank).process.kill();
      group.startAgent(rank);
    });
    await group.until(() => group.metrics.counter('expert_maps_unknown', { group: 'g' }) > 0);
    await group.until(() => (group.engines[0]?.version() ?? -1) > unknown);
    const plans = () => group.metrics.counter('expert_moves_planned', { group: 'g' });
    const before = plans();
    await group.until(() => plans() > before);
    await expectOneMap(group);
    expect(group.oracle.versions.size).to.be.greaterThan(1);
  });
});
