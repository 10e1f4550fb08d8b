import { expect } from 'chai';
import { createAdaptiveTimeouts } from '../src/index.js';

const create = () => createAdaptiveTimeouts(() => ({ first: 110, min: 100, max: 1_500 }));

describe('adaptive timeouts', () => {
  it('start at the declared timeout and never fall below the minimum', () => {
    const times = create();
    expect(times.timeoutMs('report')).to.equal(110);
    for (let n = 0; n < 50; n += 1) times.record('report', 20);
    expect(times.timeoutMs('report')).to.equal(100);
  });

  // Reading 192 ranks takes four times as long as reading 12. With a fixed timeout no reading of the large
  // group was ever complete, so the group kept its first map for ever.
  it('follow the observed response times up to the maximum', () => {
    const times = create();
    [300, 420, 380, 350].forEach((ms) => times.record('report', ms));
    expect(times.timeoutMs('report')).to.be.within(600, 1_200);
    expect(times.timeoutMs('order')).to.equal(110);
    [9_000, 9_000].forEach((ms) => times.record('report', ms));
    expect(times.timeoutMs('report')).to.equal(1_500);
  });

  it('double after each mostly unanswered call until the next response', () => {
    const times = create();
    times.backOff('order');
    times.backOff('order');
    expect(times.timeoutMs('order')).to.equal(440);
    times.record('order', 40);
    expect(times.timeoutMs('order')).to.be.below(150);
  });
});
