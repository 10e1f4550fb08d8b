import { expect } from 'chai';
import type { FaultAt } from './fakes/faulty-change.js';
import { countMessages, expectOneMap, runChangeWithFault } from './fakes/faulty-change.js';
import { createFakeGroup } from './fakes/fake-group.js';

// Callers see tokens from a group whose ranks disagree about where an expert lives: garbage, with
// no error anywhere. It would happen if one rank hears "switch" and another "abort", because a
// message of the change was lost, late, doubled, or crossed another one on its way.
describe('a change of map with one bad message', () => {
  const kinds: Record<string, FaultAt> = {
    lost: () => [],
    'late by some steps': () => [12],
    'late beyond every timeout': () => [700],
    doubled: () => [1, 1],
    'doubled, the copy late': () => [1, 400],
    'crossed with the message after it': () => [3],
  };

  for (const [kind, fault] of Object.entries(kinds)) {
    it(`never mixes maps: each message ${kind}`, async () => {
      const messages = await countMessages();
      // Four calls to each of the two other agents, and their answers.
      expect(messages).to.equal(16);
      for (let at = 0; at < messages; at += 1) await runChangeWithFault(fault, at);
    });
  }

  for (const fault of ['drop', 'lose-answer', 'twice'] as const) {
    it(`never mixes maps: each order to an engine with "${fault}"`, async () => {
      const countOrders = async (at: number): Promise<number> => {
        let orders = 0;
        const onOrder = (_rank: number, name: string) => {
          if (name === 'form_group') return undefined;
          orders += 1;
          return orders - 1 === at ? fault : undefined;
        };
        const group = createFakeGroup({ onOrder });
        await group.until(() => orders >= 9 || group.clock.monotonic() > 2_000);
        await expectOneMap(group);
        return orders;
      };
      const orders = await countOrders(-1);
      for (let at = 0; at < orders; at += 1) await countOrders(at);
    });
  }
});
