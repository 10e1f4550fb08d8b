import { expect } from 'chai';
import { run } from '../src/experiments/hot-entry.js';
import type { HotEntryFigures } from '../src/experiments/hot-entry.js';

/** Least share of the requests served at the first attempt, relative to the time before. */
const MIN_SERVED = 0.75;

describe('an entry that gets most new connections', () => {
  // The platform hands nine tenths of the new connections to one of four entries, and callers open one for each request.
  // What an entry may use alone of a limit that all share would not be enough for them.
  it('serves its callers as often as before', async () => {
    const figures = (await run({ seed: 1, quick: true, print: () => {} })) as unknown;
    const { servedBefore, servedDuring, hotShare } = figures as HotEntryFigures;
    expect(hotShare).to.be.above(0.8);
    expect(servedBefore).to.be.above(0.9);
    expect(servedDuring).to.be.at.least(MIN_SERVED * servedBefore);
  }).timeout(60_000);
});
