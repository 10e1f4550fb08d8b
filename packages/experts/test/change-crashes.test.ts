import { expect } from 'chai';
import { countMessages, expectOneMap, runChangeWithFault } from './fakes/faulty-change.js';
import { createFakeGroup } from './fakes/fake-group.js';
import type { FakeGroup } from './fakes/fake-group.js';

const coordinatorOf = (group: FakeGroup): number => group.acting()[0] ?? 0;

const otherRank = (group: FakeGroup, rank: number): number => (rank + 1) % group.names.length;

/** Runs one change for each of its messages, with `fault` injected at that message. */
const atEachMessage = async (fault: (group: FakeGroup) => void): Promise<FakeGroup[]> => {
  const messages = await countMessages();
  const groups: FakeGroup[] = [];
  for (let at = 0; at < messages; at += 1) {
    const injectFault = (group: FakeGroup): undefined => {
      fault(group);
      return undefined;
    };
    const { group } = await runChangeWithFault(injectFault, at);
    groups.push(group);
  }
  return groups;
};

const restartAfter = (group: FakeGroup, rank: number, ms: number): void => {
  group.agent(rank).process.kill();
  group.clock.after(ms, () => group.startAgent(rank));
};

// A coordinator or an agent exits, restarts with empty memory or is suspended at any message of a
// map change. The group could then stand still, or step with different maps. The engines keep the
// votes, the other agents query them, and the log determines the next coordinator.
describe('a map change with one faulty process', () => {
  it('completes when its coordinator is killed at any message', async () => {
    await atEachMessage((group) => restartAfter(group, coordinatorOf(group), 1_500));
  });

  it('completes when its coordinator restarts at once at any message', async () => {
    await atEachMessage((group) => restartAfter(group, coordinatorOf(group), 2));
  });

  it('completes when an agent restarts with empty memory at any message', async () => {
    await atEachMessage((group) => restartAfter(group, otherRank(group, coordinatorOf(group)), 2));
  });

  it('completes when an agent is frozen during the switch and woken', async () => {
    await atEachMessage((group) => {
      const { process } = group.agent(otherRank(group, coordinatorOf(group)));
      process.freeze();
      group.clock.after(1_000, process.wake);
    });
  });

  it('completes when its coordinator is frozen until after the takeover and woken', async () => {
    await atEachMessage((group) => {
      const { process } = group.agent(coordinatorOf(group));
      process.freeze();
      group.clock.after(1_500, process.wake);
    });
  });

  it('forms the group with a new fencing token when a rank is lost and comes back blank', async () => {
    const groups = await atEachMessage((group) => {
      const rank = otherRank(group, coordinatorOf(group));
      group.engines[rank]?.replace();
      restartAfter(group, rank, 50);
    });
    groups.forEach((group) => expect(group.fakeLog.records.length).to.be.greaterThan(1));
  });

  it('recovers from the loss of the coordinator together with its rank', async () => {
    await atEachMessage((group) => {
      const rank = coordinatorOf(group);
      group.engines[rank]?.replace();
      restartAfter(group, rank, 50);
    });
  });

  it('completes when the log goes down at any message', async () => {
    await atEachMessage((group) => {
      const { faults } = group.fakeLog;
      faults.down = true;
    });
  });

  it('forms the group with the held fencing token when a rank is lost while the log is down', async () => {
    const groups = await atEachMessage((group) => {
      const { faults } = group.fakeLog;
      faults.down = true;
      const rank = otherRank(group, coordinatorOf(group));
      group.engines[rank]?.replace();
      restartAfter(group, rank, 50);
    });
    await Promise.all(groups.map(expectOneMap));
  });

  it('is resolved with a number of queries linear in the size of the group', async () => {
    const ranks = 24;
    let queries = 0;
    const group = createFakeGroup({ ranks });
    group.network.setDeliveries(({ kind, method }) => {
      if (kind === 'request' && method === 'experts.outcome') queries += 1;
      if (method !== 'experts.decide' || queries > 0) return undefined;
      group.agent(coordinatorOf(group)).process.kill();
      return [];
    });
    await group.until(() => queries > 0);
    group.names.forEach((_, rank) => {
      if (!group.agent(rank).process.isAlive()) group.startAgent(rank);
    });
    await expectOneMap(group);
    expect(queries).to.be.below(5 * ranks);
  });
});
