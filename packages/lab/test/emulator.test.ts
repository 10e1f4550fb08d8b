import { expect } from 'chai';
import { emulateDay } from '../src/emulator/day.js';
import type { DayFigures, DaySpec } from '../src/emulator/day-types.js';
import { smallGroupDay } from '../src/emulator/sites.js';

const SHORT_MS = 5_000;

const play = (change: Partial<DaySpec> = {}): Promise<DayFigures> =>
  emulateDay({ ...smallGroupDay, lengthMs: SHORT_MS, seed: 4, ...change });

describe('an emulated day of a group', () => {
  it('gives the same figures for the same specification', async () => {
    expect(await play()).to.deep.equal(await play());
  });

  it('has less skew and more worth when the coordinator balances experts', async () => {
    const [without, balanced] = [await play({ weighs: undefined }), await play()];
    expect(balanced.meanSkew).to.be.below(without.meanSkew * 0.8);
    expect(balanced.worth).to.be.above(without.worth);
  });

  // Some orders get no answer and are carried out up to three seconds later, after newer ones. Ranks
  // with different maps would compute wrong results in a pass.
  it('never starts a pass with two maps while orders arrive late', async () => {
    const figures = await play({ lateOrders: 0.05, lengthMs: 10_000 });
    expect(figures.mixedPasses).to.equal(0);
    expect(figures.copies).to.be.above(0);
  });
});
