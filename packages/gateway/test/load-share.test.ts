import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import { createLoadTeller, readLoadUpdate } from '../src/mesh/load-share.js';
import type { LoadShare } from '../src/mesh/load-share.js';

describe('telling peers of the load', () => {
  it('tells what changed, and the whole now and then', async () => {
    const clock = createManualClock();
    const counts = new Map([['a', 1]]);
    const told: LoadShare[] = [];
    const teller = createLoadTeller({
      counts: () => new Map(counts),
      tell: (share) => told.push(share),
      clock,
    });
    counts.set('b', 2);
    await clock.advance(60);
    counts.delete('a');
    await clock.advance(60);
    await clock.advance(4_000);
    expect(told).toMatchSnapshot();
    await clock.advance(1_200);
    expect(told.at(-1)).to.deep.equal({ isWhole: true, counts: { b: 2 } });
    expect(teller.whole()).to.deep.equal({ isWhole: true, counts: { b: 2 } });
    teller.close();
  });

  it('reads no share from anything else', () => {
    expect(readLoadUpdate({ isWhole: true, counts: { a: 1 } })).to.not.equal(undefined);
    [undefined, 4, {}, { counts: {} }, { isWhole: false, counts: { a: 'x' } }].forEach((value) => {
      expect(readLoadUpdate(value)).to.equal(undefined);
    });
  });
});
