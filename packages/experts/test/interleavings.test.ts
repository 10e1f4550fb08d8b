import * as fc from 'fast-check';
import { createFakeGroup } from './fakes/fake-group.js';
import type { FakeGroup } from './fakes/fake-group.js';
import type { Delivery } from './fakes/fake-network.js';
import { expectOneMap } from './fakes/faulty-change.js';

type Fault = 'restart' | 'freeze' | 'wake' | 'lose-rank' | 'replace-vm' | 'log-down' | 'log-up';

const delivery = fc.oneof(
  { weight: 12, arbitrary: fc.constant<Delivery | undefined>(undefined) },
  { weight: 2, arbitrary: fc.constant<Delivery | undefined>([]) },
  { weight: 3, arbitrary: fc.integer({ min: 2, max: 150 }).map((ms): Delivery => [ms]) },
  { weight: 2, arbitrary: fc.integer({ min: 1, max: 150 }).map((ms): Delivery => [1, ms]) },
);

const faultAt = fc.record({
  at: fc.integer({ min: 0, max: 120 }),
  rank: fc.integer({ min: 0, max: 2 }),
  kind: fc.constantFrom<Fault>(
    'restart',
    'freeze',
    'wake',
    'lose-rank',
    'replace-vm',
    'log-down',
    'log-up',
  ),
});

const restart = (group: FakeGroup, rank: number): void => {
  group.agent(rank).process.kill();
  group.startAgent(rank);
};

const injectFault = (group: FakeGroup, kind: Fault, rank: number): void => {
  const { process } = group.agent(rank);
  if (kind === 'restart') restart(group, rank);
  if (kind === 'freeze') process.freeze();
  if (kind === 'wake') process.wake();
  if (kind === 'replace-vm') group.replaceVm(rank);
  if (kind === 'lose-rank') {
    group.engines[rank]?.replace();
    restart(group, rank);
  }
  if (kind === 'log-down' || kind === 'log-up') {
    const { faults } = group.fakeLog;
    faults.down = kind === 'log-down';
  }
};

// Several faults coincide: messages are lost, late and duplicated while processes exit, restart and
// are suspended and the log has an outage. No step may mix maps, and when the faults end, the group
// must step with one map again.
describe('coinciding faults', () => {
  for (const checksFence of [true, false]) {
    it(`never mix maps; engines ${checksFence ? 'check' : 'ignore'} fencing tokens`, async () => {
      const run = async (
        seed: number,
        deliveries: (Delivery | undefined)[],
        faults: { at: number; rank: number; kind: Fault }[],
      ): Promise<void> => {
        const group = createFakeGroup({ seed, checksFence });
        await group.until(() => group.oracle.steps > 20);
        let messages = 0;
        group.network.setDeliveries(() => {
          faults
            .filter(({ at }) => at === messages)
            .forEach(({ kind, rank }) => injectFault(group, kind, rank));
          messages += 1;
          return deliveries[messages % deliveries.length];
        });
        await group.clock.advance(1_000);
        group.network.setDeliveries(() => undefined);
        injectFault(group, 'log-up', 0);
        group.agents.forEach(({ process }) => process.wake());
        await expectOneMap(group);
      };
      const inputs = [
        fc.integer({ min: 1, max: 1_000 }),
        fc.array(delivery, { minLength: 1, maxLength: 60 }),
        fc.array(faultAt, { maxLength: 5 }),
      ] as const;
      await fc.assert(fc.asyncProperty(...inputs, run), { seed: 5, numRuns: 300 });
    });
  }
});
