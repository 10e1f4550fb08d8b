import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import { createPassTimes } from '../src/pass-times.js';

const EPOCH = 1;

describe('the time of a pass', () => {
  // A map change counts ahead in passes. Derived only from the passes since the change began, of
  // which there were none yet, the time of a pass came out as 6 ms instead of 80. The held pass was
  // then a second ahead, and the uneven map stayed in use until then.
  it('is the mean of the last passes, at any moment between two of them', async () => {
    const clock = createManualClock();
    const passes = createPassTimes(clock);
    expect(passes.passMs()).to.equal(undefined);
    for (let step = 1; step <= 20; step += 1) {
      passes.record(EPOCH, step);
      passes.record(EPOCH, step);
      await clock.advance(80);
    }
    expect(passes.passMs()).to.equal(80);
    expect(passes.msSinceLast()).to.equal(80);
  });

  it('follows longer passes within a few of them', async () => {
    const clock = createManualClock();
    const passes = createPassTimes(clock);
    for (let step = 1; step <= 20; step += 1) {
      passes.record(EPOCH, step);
      await clock.advance(step < 14 ? 50 : 150);
    }
    expect(passes.passMs()).to.equal(150);
  });

  it('is known when a single pass is longer than the window', async () => {
    const clock = createManualClock();
    const passes = createPassTimes(clock);
    passes.record(EPOCH, 1);
    await clock.advance(900);
    passes.record(EPOCH, 2);
    expect(passes.passMs()).to.equal(900);
  });

  it('is reset when the group forms again', async () => {
    const clock = createManualClock();
    const passes = createPassTimes(clock);
    passes.record(EPOCH, 70);
    await clock.advance(80);
    passes.record(EPOCH + 1, 0);
    expect(passes.passMs()).to.equal(undefined);
  });
});
