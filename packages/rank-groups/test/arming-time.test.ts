import { expect } from 'chai';
import { createArmingTime } from '../src/change/arming-time.js';

const passesAhead = (
  arming: ReturnType<typeof createArmingTime>,
  passMs: number,
  orderMs = 30,
  targetMs?: number,
): number => arming.passesAhead({ passMs, orderMs, targetMs });

describe('the pass at which a map change takes effect', () => {
  it('is late enough for arming to end first', () => {
    const arming = createArmingTime();
    [60, 75, 50, 80, 65, 70].forEach(arming.record);
    const passes = [30, 50, 85, 110, 250];
    expect(passes.map((passMs) => passesAhead(arming, passMs))).to.deep.equal([4, 3, 3, 2, 2]);
    // This holds even if the running pass ends at once.
    passes.forEach((passMs) =>
      expect((passesAhead(arming, passMs) - 1) * passMs).to.be.at.least(80),
    );
  });

  // Some orders go unanswered and are repeated, so arming takes 70 ms at one time and 190 at
  // another. A pass held at the mean distance would stall all streams every other time.
  it('is later when arming times vary', () => {
    const arming = createArmingTime();
    [70, 190, 80, 150, 75, 185, 120, 190].forEach(arming.record);
    const passes = [50, 100, 200];
    expect(passes.map((passMs) => passesAhead(arming, passMs, 40))).to.deep.equal([6, 4, 3]);
    passes.forEach((passMs) =>
      expect((passesAhead(arming, passMs, 40) - 1) * passMs).to.be.at.least(190),
    );
  });

  // Links fill up or VMs become slow, and the order to prepare has just taken four times as long as
  // before. A pass held at the mean distance would stall all streams at this change and at the
  // following ones, until the mean has grown.
  it('is later when the preceding order was slow', () => {
    const arming = createArmingTime();
    expect(passesAhead(arming, 50, 120)).to.equal(6);
    [60, 75, 50, 80, 65, 70].forEach(arming.record);
    expect(passesAhead(arming, 50, 120)).to.equal(6);
  });

  // However long arming takes, the uneven map must not stay in use for more than half a second for
  // it.
  it('is at most half a second ahead', () => {
    const arming = createArmingTime();
    [900, 1_200].forEach(arming.record);
    expect(passesAhead(arming, 50, 600)).to.equal(11);
  });

  // After a shift the uneven map makes every pass too long, and every stream late. One more such
  // pass costs callers more than a stall for a part of one.
  it('is as early as ranks can be armed when passes are too long', () => {
    const arming = createArmingTime();
    [100, 110, 95, 105, 100].forEach(arming.record);
    expect([130, 250].map((passMs) => passesAhead(arming, passMs, 30, 120))).to.deep.equal([1, 1]);
    expect(passesAhead(arming, 130, 150, 120)).to.equal(2);
  });
});
