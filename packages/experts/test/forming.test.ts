import { expect } from 'chai';
import { createFakeGroup } from './fakes/fake-group.js';
import type { FakeGroup, FakeGroupOptions } from './fakes/fake-group.js';
import { expectOneMap } from './fakes/faulty-change.js';
import type { Fate, Message } from './fakes/fake-network.js';

interface Counted {
  group: FakeGroup;
  /** Rank of the coordinator at the start. */
  first: number;
  /** Rank whose engine is lost. */
  lost: number;
}

type OnMessage = (message: Message, counted: Counted) => Fate | undefined;

/** A group in steps, one of whose engines is replaced by a blank one; messages go to `onMessage`. */
const loseRank = async (onMessage: OnMessage, options: FakeGroupOptions = {}): Promise<Counted> => {
  const group = createFakeGroup(options);
  await group.until(() => group.oracle.steps > 20);
  const first = group.acting()[0] ?? 0;
  const lost = (first + 1) % group.names.length;
  const counted = { group, first, lost };
  group.network.setFates((message) => onMessage(message, counted));
  group.engines[lost]?.replace();
  group.agent(lost).process.kill();
  group.startAgent(lost);
  return counted;
};

/** Calls `fault` at the message of this number, counted from the first `form` on. */
const atFormMessage = (at: number, fault: (counted: Counted) => Fate | undefined) => {
  const seen = { messages: 0 };
  const onMessage: OnMessage = (message, counted) => {
    if (seen.messages === 0 && message.method !== 'experts.form') return undefined;
    seen.messages += 1;
    return seen.messages - 1 === at ? fault(counted) : undefined;
  };
  return { seen, onMessage };
};

/** Requests and answers of the forming: one call to each of the two other agents. */
const FORM_MESSAGES = 4;

// A rank of the group is lost and comes back blank. Callers get garbage if the group then starts
// to step while some ranks have the full map of one coordinator and some an older one; here the
// engines step as soon as no rank is blank, so the order of forming is all that prevents it.
describe('forming a group anew', () => {
  const kinds: Record<string, Fate> = { lost: [], late: [300], doubled: [1, 60] };
  for (const [kind, fate] of Object.entries(kinds)) {
    it(`never mixes maps: each message ${kind}`, async () => {
      for (let at = 0; at < FORM_MESSAGES; at += 1) {
        const { seen, onMessage } = atFormMessage(at, () => fate);
        const { group } = await loseRank(onMessage);
        await group.until(() => seen.messages > at);
        await expectOneMap(group);
      }
    });
  }

  it('outlives its coordinator, killed at each message', async () => {
    for (let at = 0; at < FORM_MESSAGES; at += 1) {
      const { seen, onMessage } = atFormMessage(at, ({ group, first }) => {
        group.agent(first).process.kill();
        group.clock.after(5, () => group.startAgent(first));
        return undefined;
      });
      const { group } = await loseRank(onMessage);
      await group.until(() => seen.messages > at);
      await expectOneMap(group);
    }
  });

  /** The first coordinator sleeps from message `at` on, and wakes at its successor's `wakeAt`. */
  const sleepOver = async (
    at: number,
    wakeAt: number,
    options: FakeGroupOptions,
    onWake: (counted: Counted) => void,
  ): Promise<boolean> => {
    let requests = -1;
    let isAsleep = false;
    let wake = (): void => {};
    const { seen, onMessage } = atFormMessage(at, ({ group, first }) => {
      const { process } = group.agent(first);
      process.freeze();
      isAsleep = true;
      wake = () => {
        isAsleep = false;
        process.wake();
      };
      return undefined;
    });
    const watch: OnMessage = (message, counted) => {
      const isRegistering = message.kind === 'request' && message.method === 'experts.register';
      if (isAsleep && (requests >= 0 || isRegistering)) requests += 1;
      if (isAsleep && requests === wakeAt) {
        onWake(counted);
        wake();
      }
      return onMessage(message, counted);
    };
    const { group, first } = await loseRank(watch, options);
    await group.until(() => seen.messages > at);
    // A successor needs every rank's agent, so the sleeper's rank has to be replaced first.
    group.replaceVm(first);
    await expectOneMap(group);
    return requests >= wakeAt;
  };

  for (const checksFence of [true, false]) {
    const engines = checksFence ? 'check' : 'ignore';

    it(`is not harmed by a coordinator that slept; engines ${engines} the number`, async () => {
      for (let at = 0; at < FORM_MESSAGES; at += 1) {
        for (let wakeAt = 0; wakeAt < 20; wakeAt += 1) {
          const isWoken = await sleepOver(at, wakeAt, { checksFence }, () => {});
          expect(isWoken).to.equal(true);
        }
      }
    });

    it(`… nor when the blank rank's agent restarts then; engines ${engines} it`, async () => {
      for (let at = 0; at < FORM_MESSAGES; at += 1) {
        for (let wakeAt = 0; wakeAt < 20; wakeAt += 1) {
          await sleepOver(at, wakeAt, { checksFence }, ({ group, lost }) => {
            group.agent(lost).process.kill();
            group.startAgent(lost);
          });
        }
      }
    });
  }

  it('forms under a larger number than before', async () => {
    const { group } = await loseRank(() => undefined);
    const before = group.fakeLog.records.length;
    await expectOneMap(group);
    expect(group.fakeLog.records.length).to.equal(before + 1);
  });

  it('does not take a rank back to the map that it was formed with', async () => {
    const group = createFakeGroup({ checksFence: false });
    await group.until(() => group.oracle.versions.size >= 2);
    const [version = 0] = group.oracle.versions;
    const map = { version, layers: [[], []] };
    const copy = { fence: 0, version, rankCount: 3, map };
    const answer = await group.agent(0).member.serve('experts.form', copy);
    expect(answer).to.include({ outcome: 'refused', reason: 'old-version' });
    await expectOneMap(group);
  });
});
