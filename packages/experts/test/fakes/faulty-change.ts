import { expect } from 'chai';
import { createFakeGroup } from './fake-group.js';
import type { FakeGroup, FakeGroupOptions } from './fake-group.js';
import type { Fate, Message } from './fake-network.js';

/** Steps that a group makes on one map before its change counts as over. */
const SETTLED_STEPS = 30;
/** Time after the last fault by which the group must step on one map again. */
const SETTLE_LIMIT_MS = 8_000;

/** What happens at one message of a change; the message's own fate, if it is not delivered as usual. */
export type FaultAt = (group: FakeGroup, message: Message) => Fate | undefined;

const isSettled = (group: FakeGroup): boolean =>
  new Set(group.engines.map((engine) => engine.version())).size === 1 &&
  group.engines.every((engine) => engine.version() !== null && !engine.isArmed());

/** Waits until the group steps on one map again; fails on a mixed step or a standstill. */
export const expectOneMap = async (group: FakeGroup): Promise<void> => {
  const { oracle } = group;
  await group.until(() => isSettled(group), SETTLE_LIMIT_MS);
  const from = oracle.steps;
  await group.until(() => oracle.steps >= from + SETTLED_STEPS, SETTLE_LIMIT_MS);
  expect(oracle.mixed).to.deep.equal([]);
};

/**
 * Runs a group into its first change of map, with a fault at the message of this number (counted
 * from the first `prepare` on), and lets it settle. Answers the group and its count of messages.
 */
export const runChangeWithFault = async (
  fault: FaultAt,
  at: number,
  options: FakeGroupOptions = {},
): Promise<{ group: FakeGroup; messages: number }> => {
  const group = createFakeGroup(options);
  let messages = 0;
  let isOver = false;
  group.network.setFates((message) => {
    const hasBegun = messages > 0 || message.method === 'experts.prepare';
    if (!hasBegun || isOver) return undefined;
    messages += 1;
    return messages - 1 === at ? fault(group, message) : undefined;
  });
  const changes = (): number =>
    group.metrics
      .snapshot()
      .counters.filter(({ name }) => name === 'expert_changes')
      .reduce((sum, { value }) => sum + value, 0);
  await group.until(() => messages > Math.max(0, at));
  await group.until(() => changes() > 0 || group.clock.monotonic() > 3_000);
  isOver = true;
  await expectOneMap(group);
  return { group, messages };
};

/** Number of messages of an undisturbed change. */
export const countMessages = async (): Promise<number> =>
  (await runChangeWithFault(() => undefined, -1)).messages;
