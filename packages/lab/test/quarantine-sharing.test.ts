import { expect } from 'chai';
import { run } from '../src/experiments/quarantine.js';
import type { SharingFigures } from '../src/experiments/quarantine.js';

/** Sends of a request that crashes upstreams that may reach one after the entries have had time to learn of it. */
const MAX_LATE = 3;

describe('sharing what is known of a request that crashes upstreams', () => {
  // The request comes back at any entry for half a minute. Meanwhile the store is down, an entry is cut off, or
  // all entries are killed after the third crash. Each crash beyond stops a group of ranks again.
  it('stops it at all entries, whatever else goes wrong', async () => {
    for (const seed of [1, 7, 11]) {
      const { figures } = await run({ seed, quick: true, print: () => {} });
      const kept = (figures as SharingFigures[]).filter(({ way }) => way === 'notes-and-record');
      expect(kept).to.have.lengthOf(4);
      kept.forEach(({ late }) => expect(late).to.be.at.most(MAX_LATE));
      const alone = (figures as SharingFigures[]).filter(({ way }) => way === 'none');
      alone.forEach(({ late }) => expect(late).to.be.above(MAX_LATE));
    }
  });
});
