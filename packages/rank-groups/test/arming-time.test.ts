import { expect } from 'chai';
import { createArmingTime } from '../src/change/arming-time.js';

describe('the pass that a change of map waits for', () => {
  it('comes after arming usually has ended', () => {
    const arming = createArmingTime();
    [60, 75, 50, 80, 65, 70].forEach(arming.note);
    expect([30, 50, 85, 110, 250].map(arming.lead)).to.deep.equal([4, 3, 3, 2, 2]);
  });

  // Orders are left unanswered and given again, so arming takes 70 ms at one time and 190 at another.
  // Held for the usual time ahead, every other pass would keep all callers' streams waiting.
  it('comes later where arming takes longer at times', () => {
    const arming = createArmingTime();
    [70, 190, 80, 150, 75, 185, 120, 190].forEach(arming.note);
    expect(arming.lead(100)).to.equal(4);
    expect(arming.lead(200)).to.equal(3);
  });
});
