import { expect } from 'chai';
import { createFakeGroup } from './fake-group.js';
import type { FakeGroup, FakeGroupOptions } from './fake-group.js';
import type { Delivery, Message } from './fake-network.js';

/** Number of steps with one map after which a change counts as complete. */
const SETTLED_STEPS = 30;
/** Time in which the group must step with one map again after the last fault, in milliseconds. */
const SETTLE_LIMIT_MS = 8_000;

/** Injects a fault at one message of a change; returns its delivery, if it isn't the normal one. */
export type FaultAt = (group: FakeGroup, message: Message) => Delivery | undefined;

const isSettled = (group: FakeGroup): boolean =>
  new Set(group.engines.map((engine) => engine.version())).size === 1 &&
  group.engines.every((engine) => engine.version() !== null && !engine.isArmed());

/**
 * Waits until the group steps with one map again; fails if a step mixed maps or the group stands
 * still.
 */
export const expectOneMap = async (group: FakeGroup): Promise<void> => {
  const { oracle } = group;
  await group.until(() => isSettled(group), SETTLE_LIMIT_MS);
  const from = oracle.steps;
  await group.until(() => oracle.steps >= from + SETTLED_STEPS, SETTLE_LIMIT_MS);
  expect(oracle.mixed).to.deep.equal([]);
};

/**
 * Runs the first map change of a group with a fault at message number `at`, counted from the first
 * `prepare`, and waits until the group has recovered. Returns the group and its number of messages.
 */
export const runChangeWithFault = async (
  fault: FaultAt,
  at: number,
  options: FakeGroupOptions = {},
): Promise<{ group: FakeGroup; messages: number }> => {
  const group = createFakeGroup(options);
  let messages = 0;
  let isOver = false;
  group.network.setDeliveries((message) => {
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

/** Returns the number of messages of a change without faults. */
export const countMessages = async (): Promise<number> =>
  (await runChangeWithFault(() => undefined, -1)).messages;
