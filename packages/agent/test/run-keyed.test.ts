import { createManualClock } from '@plantaindrum/common';
import type { Claims } from '@plantaindrum/requests';
import { expect } from 'chai';
import type { AttemptOutcome } from '../src/core/attempts/answer.js';
import { createAttempt } from '../src/core/attempts/attempt.js';
import { createKeyedRunner } from '../src/core/attempts/run-keyed.js';
import { dispatchOf } from './support/entry.js';

const answered: AttemptOutcome = { outcome: 'answered' };

/** Lets promises settle that wait for nothing else. */
const turn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('the runner of keyed calls', () => {
  // A caller gets its whole answer and comes again at once with the same key, through another entry and agent. The
  // record of the first outcome is still on its way to the log, so the repeat is told "unknown" about an answer that
  // the caller already has. The entry ends an answer when the agent says so; the agent must have the record first.
  it('ends an answered call only when the log has its outcome', async () => {
    let landed = (): void => {};
    const claims: Claims = {
      claim: async () => ({ verdict: 'first', claim: 'kent:1' }),
      finish: () =>
        new Promise((resolve) => {
          landed = resolve;
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
    await turn();
    expect(ended).to.equal(undefined);
    landed();
    await turn();
    expect(ended).to.deep.equal(answered);
  });
});
