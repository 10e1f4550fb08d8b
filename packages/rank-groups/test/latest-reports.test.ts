import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import type { RankReport } from '../src/index.js';
import { createLatestReports } from '../src/latest-reports.js';

const report = (overrides: Partial<RankReport>): RankReport => ({
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
  ...overrides,
});

describe('the latest report of a rank', () => {
  // Reports may be half a second old. One that was sent while a pass was held, and arrived after
  // the pass had begun, looked like a pass held by another coordinator: this one waited 250 ms to
  // resolve it, and then read the map again.
  it('is not replaced by a report from an earlier pass', () => {
    const known = createLatestReports(createManualClock());
    known.record(report({ step: 9, map: 70_000 }));
    known.record(report({ step: 7, held: 8 }));
    expect(known.get(0)).to.include({ step: 9, map: 70_000, held: undefined });
  });

  it('is replaced by any report of another epoch', () => {
    const known = createLatestReports(createManualClock());
    known.record(report({ step: 900 }));
    known.record(report({ epoch: 2, step: 0 }));
    expect(known.get(0)).to.include({ epoch: 2, step: 0 });
  });

  it('is not replaced by a late report from before a restart', () => {
    const known = createLatestReports(createManualClock());
    known.record(report({ startedAt: 5 }));
    known.record(report({ startedAt: 4, step: 6, prepared: 3 }));
    expect(known.get(0)).to.include({ startedAt: 5, prepared: undefined });
  });

  it('shows silent ranks, the last pass and the highest version', async () => {
    const clock = createManualClock();
    const known = createLatestReports(clock);
    known.record(report({ rank: 0, prepared: 12 }));
    await clock.advance(300);
    known.record(report({ rank: 1, step: 6 }));
    await clock.advance(200);
    expect(known.olderThan([0, 1, 2], 400)).to.deep.equal([0, 2]);
    expect(known.passes.msSinceLast()).to.equal(200);
    expect(known.highestVersion()).to.equal(12);
  });
});
