import { expect } from 'chai';
import { createManualClock, createMetrics, silentEventLog, sleep } from '@plantaindrum/common';
import type { RankEngine, RankReport } from '../src/index.js';
import { createRankMember } from '../src/member.js';

const report: RankReport = {
  group: 'g',
  startedAt: 0,
  epoch: 1,
  rank: 0,
  size: 1,
  isOpen: true,
  step: 1,
  map: 0,
  prepared: undefined,
  armed: undefined,
  held: undefined,
  pace: 1,
};

const STEP_MS = 10;

/** A member whose engine counts its readings. */
const start = (isWatched = false) => {
  const clock = createManualClock();
  const seen = { readings: 0, reports: 0, isSilent: false };
  const engine: RankEngine = {
    report: async () => {
      seen.readings += 1;
      return seen.isSilent ? undefined : report;
    },
    counts: async () => undefined,
    placement: async () => undefined,
    order: async () => 'done',
  };
  const member = createRankMember({
    engine,
    onReport: () => {
      seen.reports += 1;
    },
    isWatched: () => isWatched,
    clock,
    metrics: createMetrics(),
    log: silentEventLog,
  });
  /** In steps, so that what a timer has begun is done before the next one. */
  const advance = async (ms: number): Promise<void> => {
    for (let at = 0; at < ms; at += STEP_MS) await clock.advance(STEP_MS);
  };
  const askFor = async (ms: number, everyMs: number): Promise<void> => {
    let isOver = false;
    const ask = async (): Promise<void> => {
      while (!isOver) {
        await member.newsReport();
        await sleep(clock, everyMs);
      }
    };
    void ask();
    await advance(ms);
    isOver = true;
    await advance(everyMs);
  };
  return { advance, seen, member, askFor };
};

describe('reading the engine beside an agent', () => {
  // Each agent read its engine once a pass for itself, and told the coordinator a report of before.
  it('takes one reading for two questions, and few for itself', async () => {
    const { seen, member, askFor } = start();
    await askFor(10_000, 80);
    expect(seen.readings).to.be.within(60, 66);
    expect(seen.reports).to.equal(seen.readings);
    member.close();
  });

  it('takes one a pass for itself when nobody asks, or somebody wants to know at once', async () => {
    const alone = start();
    await alone.advance(1_000);
    expect(alone.seen.readings).to.be.within(12, 14);
    const watched = start(true);
    await watched.askFor(1_000, 160);
    expect(watched.seen.readings).to.be.within(12, 16);
    [alone, watched].forEach(({ member }) => member.close());
  });

  // While a change waited for copies, its readings passed for the agent's own, and entries were not
  // told of a slow engine.
  it('tells its own readings on beside those that others ask for', async () => {
    const { seen, member, advance } = start();
    for (let ms = 0; ms < 1_000; ms += STEP_MS) {
      await member.report();
      await advance(STEP_MS);
    }
    expect(seen.reports).to.be.within(12, 14);
    member.close();
  });

  it('goes on for itself when the coordinator has gone', async () => {
    const { advance, seen, member, askFor } = start();
    await askFor(2_000, 160);
    await advance(1_500);
    const before = seen.readings;
    await advance(1_000);
    expect(seen.readings - before).to.be.within(12, 13);
    member.close();
  });

  it('tells the last report for a moment when the engine falls silent, and none later', async () => {
    const { advance, seen, member } = start();
    await advance(240);
    seen.isSilent = true;
    await advance(160);
    expect(await member.newsReport()).to.deep.equal(report);
    await advance(600);
    expect(await member.newsReport()).to.equal(undefined);
    member.close();
  });
});
