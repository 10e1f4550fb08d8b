import { expect } from 'chai';
import { createAnswerTimes } from '../src/index.js';

const create = () => createAnswerTimes(() => ({ first: 110, least: 100, most: 1_500 }));

describe('limits from observed times', () => {
  it('begin as declared, and stay above the least', () => {
    const times = create();
    expect(times.limit('report')).to.equal(110);
    for (let n = 0; n < 50; n += 1) times.note('report', 20);
    expect(times.limit('report')).to.equal(100);
  });

  // A reading of 192 ranks takes four times what one of 12 does. Under the fixed limit no reading ever came
  // in whole, and the group kept its first map for good.
  it('follow what answers take, within the bound', () => {
    const times = create();
    [300, 420, 380, 350].forEach((ms) => times.note('report', ms));
    expect(times.limit('report')).to.be.within(600, 1_200);
    expect(times.limit('order')).to.equal(110);
    [9_000, 9_000].forEach((ms) => times.note('report', ms));
    expect(times.limit('report')).to.equal(1_500);
  });

  it('are doubled while nothing comes, until the next answer', () => {
    const times = create();
    times.noteMostSilent('order');
    times.noteMostSilent('order');
    expect(times.limit('order')).to.equal(440);
    times.note('order', 40);
    expect(times.limit('order')).to.be.below(150);
  });
});
