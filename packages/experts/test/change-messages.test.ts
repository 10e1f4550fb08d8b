import { expect } from 'chai';
import type { FaultAt } from './fakes/faulty-change.js';
import { countMessages, expectOneMap, runChangeWithFault } from './fakes/faulty-change.js';
import { createFakeGroup } from './fakes/fake-group.js';

// A message of a map change is lost, late, duplicated or reordered. If one rank then switched while
// another aborted, the ranks would use different maps and compute wrong tokens without any error.
describe('a map change with one faulty message', () => {
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
      // Requests and answers of four calls to each of the two other agents.
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
