import { expect } from 'chai';
import { createManualClock, createMetrics, silentEventLog } from '@plantaindrum/common';
import type { ExpertCounts, RankEngine, RankReport } from '../src/index.js';
import { createRankMember } from '../src/rank-member.js';

const report = (startedAt: number): RankReport => ({
  ...{ group: 'g', startedAt, epoch: 1, rank: 0, size: 2, isOpen: true, step: 3, map: 0, pace: 1 },
  ...{ prepared: undefined, armed: undefined, held: undefined },
});

describe('an engine that restarts under the same instance', () => {
  // A restarted engine counts from zero. If its counts since the restart exceed the earlier ones,
  // they must not be taken for an increase, or the popularity would miss a part of them.
  it('has all counts since its restart included', async () => {
    const clock = createManualClock();
    let startedAt = 1_000;
    let counts = [50, 50];
    const taken: number[][] = [];
    const read = (): ExpertCounts => ({ startedAt, epoch: 1, step: 3, counts });
    const engine: RankEngine = {
      report: async () => report(startedAt),
      counts: async () => read(),
      placement: async () => undefined,
      order: async () => 'done',
    };
    const member = createRankMember({
      engine,
      onReport: () => {},
      needsFreshReports: () => false,
      clock,
      metrics: createMetrics(),
      log: silentEventLog,
    });
    const takeAfterPause = async (): Promise<void> => {
      for (let ms = 0; ms < 200; ms += 10) await clock.advance(10);
      taken.push(await member.takeSelectionCounts());
    };
    await takeAfterPause();
    startedAt = 2_000;
    counts = [60, 70];
    await takeAfterPause();
    member.close();
    expect(taken).to.deep.equal([[], [60, 70]]);
  });
});
