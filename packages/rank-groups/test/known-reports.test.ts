import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import type { RankReport } from '../src/index.js';
import { createKnownReports } from '../src/known-reports.js';

const report = (more: Partial<RankReport>): RankReport => ({
  ...{
    group: 'g',
    startedAt: 1,
    epoch: 1,
    rank: 0,
    size: 2,
    isOpen: true,
    step: 5,
    map: 0,
    pace: 1,
  },
  ...{ prepared: undefined, armed: undefined, held: undefined },
  ...more,
});

describe('what a coordinator knows of its ranks', () => {
  // News are half a second old at times. One that was on its way while a pass was held and begun looked like a pass
  // held by somebody else: the coordinator waited 250 ms to settle it, and then read the map anew.
  it('is not changed by news from before a later pass', () => {
    const known = createKnownReports(createManualClock());
    known.note(report({ step: 9, map: 70_000 }));
    known.note(report({ step: 7, held: 8 }));
    expect(known.of(0)).to.include({ step: 9, map: 70_000, held: undefined });
  });

  it('is replaced by any report of another epoch', () => {
    const known = createKnownReports(createManualClock());
    known.note(report({ step: 900 }));
    known.note(report({ epoch: 2, step: 0 }));
    expect(known.of(0)).to.include({ epoch: 2, step: 0 });
  });

  it('is not changed by a late word of an earlier start', () => {
    const known = createKnownReports(createManualClock());
    known.note(report({ startedAt: 5 }));
    known.note(report({ startedAt: 4, step: 6, prepared: 3 }));
    expect(known.of(0)).to.include({ startedAt: 5, prepared: undefined });
  });

  it('tells who is silent, the last pass and the highest version', async () => {
    const clock = createManualClock();
    const known = createKnownReports(clock);
    known.note(report({ rank: 0, prepared: 12 }));
    await clock.advance(300);
    known.note(report({ rank: 1, step: 6 }));
    await clock.advance(200);
    expect(known.olderThan([0, 1, 2], 400)).to.deep.equal([0, 2]);
    expect(known.passes.sinceLast()).to.equal(200);
    expect(known.highestVersion()).to.equal(12);
  });
});
