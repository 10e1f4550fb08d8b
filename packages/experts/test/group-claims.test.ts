import { expect } from 'chai';
import { createMemoryLog } from '@plantaindrum/stand-ins';
import { GROUPS_TOPIC, createGroupClaims } from '../src/index.js';
import type { GroupClaim } from '../src/index.js';
import { createFakeGroup } from './fakes/fake-group.js';
import { expectOneMap } from './fakes/faulty-change.js';

const claim = (id: string, replaces: number): GroupClaim => ({
  kind: 'claim',
  id,
  group: 'g',
  replaces,
  node: id,
  instance: id,
});

const holderAfter = async (values: unknown[], beginning = 0) => {
  const log = createMemoryLog();
  const client = log.client();
  await client.append(GROUPS_TOPIC, 0, values);
  log.expire(beginning);
  const claims = createGroupClaims(client);
  await claims.catchUp();
  return { fence: claims.holder('g')?.fence, floor: claims.minFence('g') };
};

describe('group claims', () => {
  it('are won by the first claim that replaces the holder', async () => {
    const race = [claim('a', -1), claim('b', 0), claim('c', 0), { kind: 'other' }];
    expect(await holderAfter(race)).to.deep.equal({ fence: 1, floor: 1 });
  });

  it('count once when appended twice', async () => {
    const copies = [claim('a', -1), claim('a', -1), claim('b', 0)];
    expect(await holderAfter(copies)).to.deep.equal({ fence: 2, floor: 2 });
  });

  it('are no longer accepted once expired from the log', async () => {
    const aged = [claim('a', -1), claim('b', 0), { kind: 'other' }];
    expect(await holderAfter(aged, 2)).to.deep.equal({ fence: undefined, floor: 1 });
    expect(await holderAfter([...aged, claim('c', 1)], 2)).to.deep.equal({ fence: 3, floor: 3 });
  });
});

// The answer to the append of a claim is lost, whether it had an effect or not. If that counted as
// a failure, the log could name a coordinator that doesn't act as one.
describe('a claim whose answer is lost', () => {
  for (const fault of ['lost-answer', 'lost-request'] as const) {
    it(`is found in the log and counts once (${fault})`, async () => {
      const group = createFakeGroup();
      group.fakeLog.faults.appends.push(fault);
      await expectOneMap(group);
      expect(group.fakeLog.records).to.have.length(1);
      expect(group.acting()).to.have.length(1);
    });
  }
});

// Without the log, no agent can become coordinator. Once the group has one, an outage of the log or
// the loss of the coordinator must not cost a step.
describe('a group without its log', () => {
  it('forms when the log comes back, and keeps stepping through the next outage', async () => {
    const group = createFakeGroup();
    group.fakeLog.faults.down = true;
    await group.clock.advance(1_000);
    expect(group.oracle.steps).to.equal(0);
    group.fakeLog.faults.down = false;
    await expectOneMap(group);
    group.fakeLog.faults.down = true;
    await group.until(() => group.oracle.versions.size >= 2);
    expect(group.oracle).to.deep.include({ mixed: [], heldMs: 0 });
  });

  it('loses no step when its coordinator is killed', async () => {
    const group = createFakeGroup();
    await group.until(() => group.oracle.versions.size >= 2);
    const [coordinator = 0] = group.acting();
    group.agent(coordinator).process.kill();
    const { steps } = group.oracle;
    await group.clock.advance(500);
    expect(group.oracle.steps).to.equal(steps + 100);
  });
});
