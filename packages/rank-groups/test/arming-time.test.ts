import { expect } from 'chai';
import { createArmingTime } from '../src/change/arming-time.js';

describe('the pass that a change of map waits for', () => {
  it('comes after arming usually has ended', () => {
    const arming = createArmingTime();
    [60, 75, 50, 80, 65, 70].forEach(arming.note);
    const leads = [30, 50, 85, 110, 250].map((passMs) => arming.lead(passMs, 30));
    expect(leads).to.deep.equal([5, 3, 3, 2, 2]);
  });

  // Orders are left unanswered and given again, so arming takes 70 ms at one time and 190 at another.
  // Held for the usual time ahead, every other pass would keep all callers' streams waiting.
  it('comes later where arming takes longer at times', () => {
    const arming = createArmingTime();
    [70, 190, 80, 150, 75, 185, 120, 190].forEach(arming.note);
    expect(arming.lead(100, 40)).to.equal(4);
    expect(arming.lead(200, 40)).to.equal(3);
  });
  // Links fill up or VMs turn slow, and the order to prepare has just taken four times as long as before. Held for the
  // usual time ahead, this change would keep all callers' streams waiting, and the next ones too until it is usual.
  it('comes as late as the order before it says', () => {
    const arming = createArmingTime();
    expect(arming.lead(50, 120)).to.equal(9);
    [60, 75, 50, 80, 65, 70].forEach(arming.note);
    expect(arming.lead(50, 120)).to.equal(6);
  });

  // However long arming takes, the uneven map is not kept for more than half a second for it.
  it('comes half a second ahead at the most', () => {
    const arming = createArmingTime();
    [900, 1_200].forEach(arming.note);
    expect(arming.lead(50, 600)).to.equal(11);
  });
});
