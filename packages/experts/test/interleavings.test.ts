import * as fc from 'fast-check';
import { createFakeGroup } from './fakes/fake-group.js';
import type { FakeGroup } from './fakes/fake-group.js';
import type { Fate } from './fakes/fake-network.js';
import { expectOneMap } from './fakes/faulty-change.js';

type Mishap = 'restart' | 'freeze' | 'wake' | 'lose-rank' | 'replace-vm' | 'log-down' | 'log-up';

const fate = fc.oneof(
  { weight: 12, arbitrary: fc.constant<Fate | undefined>(undefined) },
  { weight: 2, arbitrary: fc.constant<Fate | undefined>([]) },
  { weight: 3, arbitrary: fc.integer({ min: 2, max: 150 }).map((ms): Fate => [ms]) },
  { weight: 2, arbitrary: fc.integer({ min: 1, max: 150 }).map((ms): Fate => [1, ms]) },
);

const mishap = fc.record({
  at: fc.integer({ min: 0, max: 120 }),
  rank: fc.integer({ min: 0, max: 2 }),
  kind: fc.constantFrom<Mishap>(
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

const cause = (group: FakeGroup, kind: Mishap, rank: number): void => {
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
    Object.assign(group.fakeLog.faults, { isDown: kind === 'log-down' });
  }
};

// Several things go wrong in one change: messages lost, late and doubled while processes die,
// sleep and come back and the log has an outage. Whatever the order, no step may mix maps, and
// when the faults end the group steps on one map again.
describe('interleavings of faults', () => {
  for (const checksFence of [true, false]) {
    it(`never mix maps; engines ${checksFence ? 'check' : 'ignore'} numbers`, async () => {
      const run = async (
        seed: number,
        fates: (Fate | undefined)[],
        mishaps: { at: number; rank: number; kind: Mishap }[],
      ): Promise<void> => {
        const group = createFakeGroup({ seed, checksFence });
        await group.until(() => group.oracle.steps > 20);
        let messages = 0;
        group.network.setFates(() => {
          mishaps
            .filter(({ at }) => at === messages)
            .forEach(({ kind, rank }) => cause(group, kind, rank));
          messages += 1;
          return fates[messages % fates.length];
        });
        await group.clock.advance(1_000);
        group.network.setFates(() => undefined);
        Object.assign(group.fakeLog.faults, { isDown: false });
        group.agents.forEach(({ process }) => process.wake());
        await expectOneMap(group);
      };
      const inputs = [
        fc.integer({ min: 1, max: 1_000 }),
        fc.array(fate, { minLength: 1, maxLength: 60 }),
        fc.array(mishap, { maxLength: 5 }),
      ] as const;
      await fc.assert(fc.asyncProperty(...inputs, run), { seed: 5, numRuns: 300 });
    });
  }
});
