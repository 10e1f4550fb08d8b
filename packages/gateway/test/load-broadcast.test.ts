import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import { createLoadBroadcaster, readLoadUpdate } from '../src/mesh/load-broadcast.js';
import type { LoadUpdate } from '../src/mesh/load-broadcast.js';

describe('load updates between entries', () => {
  it('broadcasts changes, and a full update at longer intervals', async () => {
    const clock = createManualClock();
    const counts = new Map([['a', 1]]);
    const updates: LoadUpdate[] = [];
    const broadcaster = createLoadBroadcaster({
      counts: () => new Map(counts),
      broadcast: (update) => updates.push(update),
      clock,
    });
    counts.set('b', 2);
    await clock.advance(60);
    counts.delete('a');
    await clock.advance(60);
    await clock.advance(4_000);
    expect(updates).toMatchSnapshot();
    await clock.advance(1_200);
    expect(updates.at(-1)).to.deep.equal({ isWhole: true, counts: { b: 2 } });
    expect(broadcaster.fullUpdate()).to.deep.equal({ isWhole: true, counts: { b: 2 } });
    broadcaster.close();
  });

  it('rejects values that are not load updates', () => {
    expect(readLoadUpdate({ isWhole: true, counts: { a: 1 } })).to.not.equal(undefined);
    [undefined, 4, {}, { counts: {} }, { isWhole: false, counts: { a: 'x' } }].forEach((value) => {
      expect(readLoadUpdate(value)).to.equal(undefined);
    });
  });
});
