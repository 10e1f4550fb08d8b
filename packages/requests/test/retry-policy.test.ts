import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import { createRetryPolicy } from '../src/retry/retry-policy.js';
import type { FailedAttempt } from '../src/retry/types.js';

const failedBase: FailedAttempt = {
  outcome: 'not-run',
  reason: 'queue-full',
  mayNotRepeat: false,
  attempts: 1,
  deadline: 1000,
  answerBegun: false,
};

const policyWith = (burst = 10) =>
  createRetryPolicy({ clock: createManualClock(), burst, minPerSecond: 0 });

describe('retry policy', () => {
  it('gives each refusal its reason', () => {
    const cases: Record<string, Partial<FailedAttempt>> = {
      'not run, may not repeat': { mayNotRepeat: true },
      'unknown, may not repeat': { outcome: 'unknown', mayNotRepeat: true },
      'unknown, repeatable': { outcome: 'unknown', reason: 'agent-gone' },
      'stream broken': { outcome: 'unknown', answerBegun: true },
      'stream broken, can resume': { outcome: 'unknown', answerBegun: true, resumeAfter: '41' },
      'third attempt': { attempts: 3 },
      'deadline near': { deadline: 10 },
      'caller gone': { reason: 'cancelled' },
      'key reused': { reason: 'claim-key-reused' },
    };
    const decisions = Object.entries(cases).map(([name, change]) => [
      name,
      policyWith().decide({ ...failedBase, ...change }),
    ]);
    expect(Object.fromEntries(decisions)).toMatchSnapshot();
  });

  // Every upstream refuses. Without a budget, each request becomes three, and the retries keep the
  // overload going. With the budget, retries stay at a tenth of the requests.
  it('keeps retries to a share of the requests', () => {
    const policy = policyWith();
    let retries = 0;
    for (let n = 0; n < 1000; n += 1) {
      policy.recordRequest();
      if (policy.decide(failedBase).retry) retries += 1;
    }
    expect(retries).to.be.within(100, 110);
  });

  it('does not charge the budget for work that a leaving upstream gives back', () => {
    const policy = policyWith(0);
    expect(policy.decide(failedBase)).to.deep.equal({ retry: false, reason: 'budget-spent' });
    expect(policy.decide({ ...failedBase, reason: 'leaving' })).to.deep.equal({ retry: true });
  });
});
