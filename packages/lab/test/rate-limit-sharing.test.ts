import { expect } from 'chai';
import { run } from '../src/experiments/rate-limit.js';
import type { LimitFigures } from '../src/experiments/rate-limit.js';

/** Requests beyond the limit over a whole run: those that a window allows beyond its rate. */
const MAX_EXCESS = 5;

describe('sharing the limit that an upstream names', () => {
  // All callers of 4 or of 36 entries would be sent to the upstream, words between entries take 3 to 60 ms, and the
  // callers may all come to one entry. Kept by each entry alone the limit is exceeded, in equal parts it lies idle.
  it('keeps it over all entries and uses it, wherever the callers come in', async () => {
    for (const seed of [1, 7, 11]) {
      const { figures } = await run({ seed, quick: true, print: () => {} });
      const byWay = (wanted: LimitFigures['way']): LimitFigures[] =>
        (figures as LimitFigures[]).filter(({ way }) => way === wanted);
      expect(byWay('one-count')).to.have.lengthOf(16);
      byWay('one-count').forEach(({ mostInWindow, allowed, sent, due }) => {
        expect(mostInWindow).to.be.at.most(allowed);
        expect(sent).to.be.within(0.8 * due, due + MAX_EXCESS);
      });
      const exceeds = ({ mostInWindow, allowed }: LimitFigures): boolean => mostInWindow > allowed;
      expect(byWay('each-alone').some(exceeds)).to.equal(true);
      expect(byWay('equal-parts').some(({ sent, due }) => sent < 0.5 * due)).to.equal(true);
    }
  });
});
