import { createManualClock } from '@plantaindrum/common';
import type { Claims } from '@plantaindrum/requests';
import { expect } from 'chai';
import type { AttemptOutcome } from '../src/core/attempts/answer.js';
import { createAttempt } from '../src/core/attempts/attempt.js';
import { createKeyedRunner } from '../src/core/attempts/run-keyed.js';
import { dispatchOf } from './support/entry.js';

const answered: AttemptOutcome = { outcome: 'answered' };

/** Waits until all promises that depend on no I/O or timer have settled. */
const flushPromises = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('runner of requests with an idempotency key', () => {
  // A caller that has its full answer repeats the request immediately, through another entry and agent. If the log did
  // not have the first outcome yet, the repeat would end as "unknown" though the caller already has the answer. So the
  // agent ends an answer only after its outcome is recorded.
  it('ends an answered request only after the log has its outcome', async () => {
    let confirmRecorded = (): void => {};
    const claims: Claims = {
      claim: async () => ({ verdict: 'first', claim: 'kent:1' }),
      finish: () =>
        new Promise((resolve) => {
          confirmRecorded = resolve;
        }),
      release: async () => {},
      abandon: () => {},
      flush: async () => {},
      close: () => {},
    };
    const clock = createManualClock();
    const run = createKeyedRunner({ claims, run: async () => answered, clock });
    const id = 'e:1';
    const load = () => ({ queued: 0, running: 0, drainPerSecond: 0, leaving: false });
    const attempt = createAttempt({ id, arrivedAt: 0, load, onDelivered: () => {} });
    const key = { key: 'order-1', bodyHash: 'a'.repeat(64) };
    let ended: AttemptOutcome | undefined;
    void run(attempt, dispatchOf(id), key, () => true).then((outcome) => {
      ended = outcome;
    });
    await flushPromises();
    expect(ended).to.equal(undefined);
    confirmRecorded();
    await flushPromises();
    expect(ended).to.deep.equal(answered);
  });
});
