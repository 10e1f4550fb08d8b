import { expect } from 'chai';
import { emulateDay } from '../src/emulator/day.js';
import { largeGroupDay } from '../src/emulator/sites.js';

/** Share of streams whose pauses are as short as callers want them, by the users' aim. */
const AIMED_SHARE = 0.95;

describe('streams of a group of 72 ranks whose popularity shifts', () => {
  // Callers see most streams late all day, by a pause and not by their first event; nobody is refused, and calls that
  // are not streams are well. After a shift the map is changed. The group stands still from where the pass that is held
  // for the change would have begun until the last rank is armed: that is a pause in every stream in flight, and there
  // is a change in the time of most streams. It happens where orders take long, on thin links or busy VMs: the pass lay
  // four passes ahead at the most, of 50 ms each. Held twice as far ahead, the same changes are not seen by any stream.
  [60, 120].forEach((orderMs) => {
    it(`come on time where an order takes ${orderMs} ms`, async () => {
      const day = { ...largeGroupDay, lengthMs: 12_000, seed: 1, orderMs };
      const { onTime, streams, mixedPasses } = await emulateDay(day);
      expect(onTime / streams).to.be.at.least(AIMED_SHARE);
      expect(mixedPasses).to.equal(0);
    });
  });
});
