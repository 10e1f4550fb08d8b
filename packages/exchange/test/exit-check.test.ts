import { expect } from 'chai';
import { systemClock } from '@plantaindrum/common';
import { createExitCheck } from '../src/index.js';
import type { ConnectOutcome } from '../src/index.js';

const UPSTREAM = { instance: 'i', host: '127.0.0.1', port: 1 };

/** A check whose connections are settled by the test, in the order in which they were begun. */
const createSettledCheck = () => {
  const settles: ((outcome: ConnectOutcome) => void)[] = [];
  const check = createExitCheck({
    ...{ delayMs: 0, timeoutMs: 100, clock: systemClock },
    connectTo: () =>
      new Promise((resolve) => {
        settles.push(resolve);
      }),
  });
  const settle = (outcome: ConnectOutcome): void => settles.shift()?.(outcome);
  return { check: () => check(UPSTREAM), settle, pending: () => settles.length };
};

const nextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('exit check', () => {
  // Guards against an answer that is taken for complete because of a connection that is older than its end.
  it('does not use a connection that was begun before the question', async () => {
    const { check, settle } = createSettledCheck();
    const first = check();
    await nextTurn();
    const second = check();
    await nextTurn();
    settle('open');
    settle('refused');
    expect(await first).to.equal('open');
    expect(await second).to.equal('refused');
  });

  it('makes one connection for all questions of one turn', async () => {
    const { check, settle, pending } = createSettledCheck();
    const checks = [check(), check(), check()];
    await nextTurn();
    expect(pending()).to.equal(1);
    settle('refused');
    expect(await Promise.all(checks)).to.deep.equal(['refused', 'refused', 'refused']);
  });
});
