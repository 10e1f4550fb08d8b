import { expect } from 'chai';
import { createManualClock, createMetrics, silentEventLog } from '@plantaindrum/common';
import type { ExpertCounts, RankEngine, RankReport } from '../src/index.js';
import { createRankMember } from '../src/member.js';

const report = (startedAt: number): RankReport => ({
  ...{ group: 'g', startedAt, epoch: 1, rank: 0, size: 2, isOpen: true, step: 3, map: 0, pace: 1 },
  ...{ prepared: undefined, armed: undefined, held: undefined },
});

describe('an engine that starts again under its instance', () => {
  // Its counts begin anew. More picks since its start than before it would pass for a difference to
  // the earlier counts, and the popularity would miss what the new start has counted.
  it('has all counts of its new start taken', async () => {
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
      isWatched: () => false,
      clock,
      metrics: createMetrics(),
      log: silentEventLog,
    });
    const pass = async (): Promise<void> => {
      for (let ms = 0; ms < 200; ms += 10) await clock.advance(10);
      taken.push(await member.takePicks());
    };
    await pass();
    startedAt = 2_000;
    counts = [60, 70];
    await pass();
    member.close();
    expect(taken).to.deep.equal([[], [60, 70]]);
  });
});
