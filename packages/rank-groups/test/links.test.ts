import { expect } from 'chai';
import fc from 'fast-check';
import { createManualClock } from '@plantaindrum/common';
import type { Link } from '@plantaindrum/link';
import {
  changesBetween,
  createPlacementBook,
  createSentPlacements,
} from '../src/links/placement-deltas.js';
import { createRankTeller, picksEveryMs } from '../src/links/teller.js';
import type { Placement, RankReport } from '../src/index.js';

const placements = fc.array(
  fc.array(fc.uniqueArray(fc.nat(9), { maxLength: 3 }), { minLength: 3, maxLength: 3 }),
  { minLength: 2, maxLength: 2 },
);

describe('maps as differences', () => {
  it('are rebuilt as they were', () => {
    fc.assert(
      fc.property(placements, placements, (from: Placement, to: Placement) => {
        const book = createPlacementBook();
        const sent = createSentPlacements();
        book.put(1, 7, from);
        sent.noteTaken(4, 1, 7, from);
        const delta = sent.deltaFor(4, 1, to);
        expect(delta && book.rebuild(1, delta)).to.deep.equal(to);
      }),
      { seed: 5 },
    );
  });

  it('name only what differs', () => {
    const from = [[[0], [1], [2]]];
    expect(changesBetween(from, [[[0], [1, 0], [2]]])).to.deep.equal([[0, 1, [1, 0]]]);
  });

  // An agent that has started anew, or whose group has, would build its part of a map on another
  // one than the rest; it says that it doesn't know the base, and is sent the whole.
  it('are refused without their base', () => {
    const book = createPlacementBook();
    book.put(1, 7, [[[0], [1], [2]]]);
    expect(book.rebuild(1, { base: 6, changes: [] })).to.equal(undefined);
    expect(book.rebuild(2, { base: 7, changes: [] })).to.equal(undefined);
    const sent = createSentPlacements();
    sent.noteTaken(4, 1, 7, [[[0]]]);
    expect(sent.deltaFor(4, 2, [[[0]]])).to.equal(undefined);
    sent.forget(4);
    expect(sent.deltaFor(4, 1, [[[0]]])).to.equal(undefined);
  });
});

describe('telling the coordinator', () => {
  const report: RankReport = {
    ...{
      group: 'g',
      startedAt: 0,
      epoch: 1,
      rank: 3,
      size: 16,
      isOpen: true,
      step: 5,
      map: 0,
      pace: 1,
    },
    ...{ prepared: undefined, armed: undefined, held: undefined },
  };

  const start = () => {
    const clock = createManualClock();
    const told: { to: string; method: string; args: unknown }[] = [];
    const linkTo = (to: string): Link =>
      ({
        send: ({ method, args }: { method: string; args: unknown }) =>
          told.push({ to, method, args: method === 'rank.report' ? 'report' : args }),
      }) as unknown as Link;
    const teller = createRankTeller({
      coordinator: () => linkTo('coordinator'),
      relay: () => linkTo('relay'),
      clock,
    });
    return { clock, told, teller };
  };

  it('sums picks on the way and leaves out reports without news', async () => {
    const { clock, told, teller } = start();
    teller.note({ report, picks: [1, 0] });
    teller.addPicks([5, 5]);
    await clock.advance(40);
    teller.note({ report: { ...report, step: 6 }, picks: [1, 1] });
    await clock.advance(40);
    teller.note({ report: { ...report, step: 7, prepared: 9 }, picks: [1, 1] });
    await clock.advance(240);
    teller.note({ report: { ...report, step: 11, prepared: 9 }, picks: [] });
    expect(told).toMatchSnapshot();
  });

  it('tells picks of a large group less often', () => {
    expect([16, 72].map(picksEveryMs)).to.deep.equal([80, 216]);
  });
});
