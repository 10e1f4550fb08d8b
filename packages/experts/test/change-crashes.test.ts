import { expect } from 'chai';
import { countMessages, expectOneMap, runChangeWithFault } from './fakes/faulty-change.js';
import { createFakeGroup } from './fakes/fake-group.js';
import type { FakeGroup } from './fakes/fake-group.js';

const coordinatorOf = (group: FakeGroup): number => group.acting()[0] ?? 0;

const anotherThan = (group: FakeGroup, rank: number): number => (rank + 1) % group.names.length;

/** Runs `fault` at every message of a change, one run for each. */
const atEachMessage = async (fault: (group: FakeGroup) => void): Promise<FakeGroup[]> => {
  const messages = await countMessages();
  const groups: FakeGroup[] = [];
  for (let at = 0; at < messages; at += 1) {
    const act = (group: FakeGroup): undefined => {
      fault(group);
      return undefined;
    };
    const { group } = await runChangeWithFault(act, at);
    groups.push(group);
  }
  return groups;
};

const restartAfter = (group: FakeGroup, rank: number, ms: number): void => {
  group.agent(rank).process.kill();
  group.clock.after(ms, () => group.startAgent(rank));
};

// Callers of a group wait, or get mixed output, when the process that was changing its map dies,
// or an agent comes back without memory, at any point. The engines keep the votes, the others ask
// for them, and the log names the next coordinator; so at no point may it matter who has died.
describe('a change of map with one bad process', () => {
  it('outlives its coordinator, killed for good at each message', async () => {
    await atEachMessage((group) => restartAfter(group, coordinatorOf(group), 1_500));
  });

  it('outlives its coordinator, restarted at once at each message', async () => {
    await atEachMessage((group) => restartAfter(group, coordinatorOf(group), 2));
  });

  it('outlives an agent restarted with nothing in memory', async () => {
    await atEachMessage((group) =>
      restartAfter(group, anotherThan(group, coordinatorOf(group)), 2),
    );
  });

  it('outlives an agent frozen over the switch and woken', async () => {
    await atEachMessage((group) => {
      const { process } = group.agent(anotherThan(group, coordinatorOf(group)));
      process.freeze();
      group.clock.after(1_000, process.wake);
    });
  });

  it('outlives its coordinator frozen past its successor and woken', async () => {
    await atEachMessage((group) => {
      const { process } = group.agent(coordinatorOf(group));
      process.freeze();
      group.clock.after(1_500, process.wake);
    });
  });

  it('outlives the loss of a rank, which comes back blank under a new number', async () => {
    const groups = await atEachMessage((group) => {
      const rank = anotherThan(group, coordinatorOf(group));
      group.engines[rank]?.replace();
      restartAfter(group, rank, 50);
    });
    groups.forEach((group) => expect(group.fakeLog.records.length).to.be.greaterThan(1));
  });

  it('outlives the loss of the coordinator and its rank together', async () => {
    await atEachMessage((group) => {
      const rank = coordinatorOf(group);
      group.engines[rank]?.replace();
      restartAfter(group, rank, 50);
    });
  });

  it('goes on while the log is down, from each message on', async () => {
    await atEachMessage((group) => {
      Object.assign(group.fakeLog.faults, { isDown: true });
    });
  });

  it('re-forms under the held number when a rank is lost while the log is down', async () => {
    const groups = await atEachMessage((group) => {
      Object.assign(group.fakeLog.faults, { isDown: true });
      const rank = anotherThan(group, coordinatorOf(group));
      group.engines[rank]?.replace();
      restartAfter(group, rank, 50);
    });
    await Promise.all(groups.map(expectOneMap));
  });

  it('is settled by messages that grow with the group, not with its square', async () => {
    const ranks = 24;
    let questions = 0;
    const group = createFakeGroup({ ranks });
    group.network.setFates(({ kind, method }) => {
      if (kind === 'request' && method === 'experts.outcome') questions += 1;
      if (method !== 'experts.decide' || questions > 0) return undefined;
      group.agent(coordinatorOf(group)).process.kill();
      return [];
    });
    await group.until(() => questions > 0);
    group.names.forEach((_, rank) => {
      if (!group.agent(rank).process.isAlive()) group.startAgent(rank);
    });
    await expectOneMap(group);
    expect(questions).to.be.below(5 * ranks);
  });
});
