import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import { createPassTimes } from '../src/pass-times.js';

const EPOCH = 1;

describe('the time of a pass', () => {
  // A change of map counts ahead in passes. Told by the passes since the change began, of which there was none yet, one
  // passed for 6 ms in place of 80: the pass that was held lay a second ahead, with the uneven map until then.
  it('is the mean of the last few, whatever the moment between two passes', async () => {
    const clock = createManualClock();
    const passes = createPassTimes(clock);
    expect(passes.passMs()).to.equal(undefined);
    for (let step = 1; step <= 20; step += 1) {
      passes.note(EPOCH, step);
      passes.note(EPOCH, step);
      await clock.advance(80);
    }
    expect(passes.passMs()).to.equal(80);
    expect(passes.sinceLast()).to.equal(80);
  });

  it('follows passes that have grown longer within some of them', async () => {
    const clock = createManualClock();
    const passes = createPassTimes(clock);
    for (let step = 1; step <= 20; step += 1) {
      passes.note(EPOCH, step);
      await clock.advance(step < 14 ? 50 : 150);
    }
    expect(passes.passMs()).to.equal(150);
  });

  it('is known where a single pass is longer than that', async () => {
    const clock = createManualClock();
    const passes = createPassTimes(clock);
    passes.note(EPOCH, 1);
    await clock.advance(900);
    passes.note(EPOCH, 2);
    expect(passes.passMs()).to.equal(900);
  });

  it('begins anew when the group has formed anew', async () => {
    const clock = createManualClock();
    const passes = createPassTimes(clock);
    passes.note(EPOCH, 70);
    await clock.advance(80);
    passes.note(EPOCH + 1, 0);
    expect(passes.passMs()).to.equal(undefined);
  });
});
