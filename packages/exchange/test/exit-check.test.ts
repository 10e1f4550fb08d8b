import { expect } from 'chai';
import { systemClock } from '@plantaindrum/common';
import { createExitCheck } from '../src/index.js';
import type { ConnectOutcome } from '../src/index.js';

const UPSTREAM = { instance: 'i', host: '127.0.0.1', port: 1 };

/** A check whose connections are settled by the test, in the order in which they were begun. */
const createSettledCheck = () => {
  const settles: ((outcome: ConnectOutcome) => void)[] = [];
  const check = createExitCheck({
    ...{ delayMs: 0, timeoutMs: 100, onExited: () => {}, onAlive: () => {}, clock: systemClock },
    connectTo: () =>
      new Promise((resolve) => {
        settles.push(resolve);
      }),
  });
  const settle = async (outcome: ConnectOutcome): Promise<void> => {
    settles.shift()?.(outcome);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  };
  return { check: () => check(UPSTREAM), settle, pending: () => settles.length };
};

describe('exit check', () => {
  // Guards against an answer that is taken for complete because of a connection that is older than its end.
  it('does not use a connection that was begun before the question', async () => {
    const { check, settle } = createSettledCheck();
    const first = check();
    const second = check();
    await settle('open');
    await settle('refused');
    expect(await first).to.equal('open');
    expect(await second).to.equal('refused');
  });

  it('makes one more connection for all questions that come during a check', async () => {
    const { check, settle, pending } = createSettledCheck();
    const checks = [check(), check(), check(), check()];
    await settle('open');
    expect(pending()).to.equal(1);
    await settle('refused');
    expect(await Promise.all(checks)).to.deep.equal(['open', 'refused', 'refused', 'refused']);
  });
});
