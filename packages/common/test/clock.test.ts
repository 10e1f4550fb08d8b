import { expect } from 'chai';
import { createManualClock, sleep } from '../src/index.js';

describe('manual clock', () => {
  it('runs due timers in order of time, then of creation, each at its own time', async () => {
    const clock = createManualClock(1_000);
    const events: string[] = [];
    const recordTime = (name: string) => () => events.push(`${name}@${clock.now()}`);
    clock.after(20, recordTime('late'));
    clock.after(10, recordTime('first'));
    clock.after(10, recordTime('second'));
    await clock.advance(20);
    expect(events).to.deep.equal(['first@1010', 'second@1010', 'late@1020']);
  });

  it('leaves out cancelled timers and those not yet due', async () => {
    const clock = createManualClock();
    const seen: string[] = [];
    const cancel = clock.after(5, () => seen.push('cancelled'));
    clock.after(11, () => seen.push('not due'));
    cancel();
    await clock.advance(10);
    expect(seen).to.deep.equal([]);
    expect(clock.monotonic()).to.equal(10);
  });

  it('runs timers that a due timer sets within the same advance', async () => {
    const clock = createManualClock();
    const seen: number[] = [];
    clock.after(5, () => {
      clock.after(5, () => seen.push(clock.now()));
    });
    await clock.advance(10);
    expect(seen).to.deep.equal([10]);
  });

  it('lets promises settle between timers', async () => {
    const clock = createManualClock();
    const seen: string[] = [];
    const task = async () => {
      await sleep(clock, 5);
      seen.push(`woke@${clock.now()}`);
      await sleep(clock, 5);
      seen.push(`woke@${clock.now()}`);
    };
    void task();
    await clock.advance(10);
    expect(seen).to.deep.equal(['woke@5', 'woke@10']);
  });
});
