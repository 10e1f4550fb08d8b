import { expect } from 'chai';
import { createFakeGroup } from './fakes/fake-group.js';
import type { FakeGroup, FakeGroupOptions } from './fakes/fake-group.js';
import { expectOneMap } from './fakes/faulty-change.js';
import type { Delivery, Message } from './fakes/fake-network.js';

interface Counted {
  group: FakeGroup;
  /** Rank of the coordinator at the start. */
  first: number;
  /** Rank whose engine is lost. */
  lost: number;
}

type OnMessage = (message: Message, counted: Counted) => Delivery | undefined;

/** Starts a group, then replaces one of its engines by a blank one; messages go to `onMessage`. */
const loseRank = async (onMessage: OnMessage, options: FakeGroupOptions = {}): Promise<Counted> => {
  const group = createFakeGroup(options);
  await group.until(() => group.oracle.steps > 20);
  const first = group.acting()[0] ?? 0;
  const lost = (first + 1) % group.names.length;
  const counted = { group, first, lost };
  group.network.setDeliveries((message) => onMessage(message, counted));
  group.engines[lost]?.replace();
  group.agent(lost).process.kill();
  group.startAgent(lost);
  return counted;
};

/** Calls `fault` at message number `at`, counted from the first `form`. */
const atFormMessage = (at: number, fault: (counted: Counted) => Delivery | undefined) => {
  const seen = { messages: 0 };
  const onMessage: OnMessage = (message, counted) => {
    if (seen.messages === 0 && message.method !== 'experts.form') return undefined;
    seen.messages += 1;
    return seen.messages - 1 === at ? fault(counted) : undefined;
  };
  return { seen, onMessage };
};

/** Requests and answers of one `form` call to each of the two other agents. */
const FORM_MESSAGES = 4;

// A rank is lost and comes back blank. Tokens would be wrong if the group then stepped while some
// ranks have a new coordinator's map and others an older one. These engines step as soon as no rank
// is blank, so only the order of forming prevents it.
describe('forming a group again', () => {
  const kinds: Record<string, Delivery> = { lost: [], late: [300], doubled: [1, 60] };
  for (const [kind, delivery] of Object.entries(kinds)) {
    it(`never mixes maps: each message ${kind}`, async () => {
      for (let at = 0; at < FORM_MESSAGES; at += 1) {
        const { seen, onMessage } = atFormMessage(at, () => delivery);
        const { group } = await loseRank(onMessage);
        await group.until(() => seen.messages > at);
        await expectOneMap(group);
      }
    });
  }

  it('completes when its coordinator is killed at any message', async () => {
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

  /**
   * Suspends the first coordinator at message `at`, and resumes it at message `resumeAt` after its
   * successor has begun to register.
   */
  const suspendCoordinator = async (
    at: number,
    resumeAt: number,
    options: FakeGroupOptions,
    onResume: (counted: Counted) => void,
  ): Promise<boolean> => {
    let requests = -1;
    let isSuspended = false;
    let resume = (): void => {};
    const { seen, onMessage } = atFormMessage(at, ({ group, first }) => {
      const { process } = group.agent(first);
      process.freeze();
      isSuspended = true;
      resume = () => {
        isSuspended = false;
        process.wake();
      };
      return undefined;
    });
    const watch: OnMessage = (message, counted) => {
      const isRegistering = message.kind === 'request' && message.method === 'experts.register';
      if (isSuspended && (requests >= 0 || isRegistering)) requests += 1;
      if (isSuspended && requests === resumeAt) {
        onResume(counted);
        resume();
      }
      return onMessage(message, counted);
    };
    const { group, first } = await loseRank(watch, options);
    await group.until(() => seen.messages > at);
    // A successor needs the agents of all ranks, so the rank of the suspended one is replaced.
    group.replaceVm(first);
    await expectOneMap(group);
    return requests >= resumeAt;
  };

  for (const checksFence of [true, false]) {
    const engines = checksFence ? 'check' : 'ignore';

    it(`never mixes maps when a suspended coordinator resumes; engines ${engines} the fencing token`, async () => {
      for (let at = 0; at < FORM_MESSAGES; at += 1) {
        for (let resumeAt = 0; resumeAt < 20; resumeAt += 1) {
          const isResumed = await suspendCoordinator(at, resumeAt, { checksFence }, () => {});
          expect(isResumed).to.equal(true);
        }
      }
    });

    it(`never mixes maps when the blank rank's agent restarts as well; engines ${engines} the fencing token`, async () => {
      for (let at = 0; at < FORM_MESSAGES; at += 1) {
        for (let resumeAt = 0; resumeAt < 20; resumeAt += 1) {
          await suspendCoordinator(at, resumeAt, { checksFence }, ({ group, lost }) => {
            group.agent(lost).process.kill();
            group.startAgent(lost);
          });
        }
      }
    });
  }

  it('uses a larger fencing token than before', async () => {
    const { group } = await loseRank(() => undefined);
    const before = group.fakeLog.records.length;
    await expectOneMap(group);
    expect(group.fakeLog.records.length).to.equal(before + 1);
  });

  it('does not return a rank to the map that it was formed with', async () => {
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
