import { expect } from 'chai';
import { createFakeGroup } from './fakes/fake-group.js';
import { expectOneMap } from './fakes/faulty-change.js';

// All agents of a group are replaced before they could copy the map in use to each other, for
// example in a fast rolling upgrade. The engines continue, but without the map no coordinator can
// plan, and the group would become slower as popularity drifts. It must first change to a known
// map.
describe('a map that no agent knows', () => {
  it('is replaced by a known map from which plans can start', async () => {
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
