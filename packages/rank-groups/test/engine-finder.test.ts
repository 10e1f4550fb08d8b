import { expect } from 'chai';
import { createManualClock, silentEventLog, sleep } from '@plantaindrum/common';
import { createEngineFinder } from '../src/index.js';
import type { RankEngine, RankReport } from '../src/index.js';

const RANKS = 192;
const ANSWER_MS = 5;

const start = () => {
  const clock = createManualClock();
  let epoch = 1;
  let asked = 0;
  let running = 0;
  let most = 0;
  const engineOf = (rank: number): RankEngine =>
    ({
      report: async () => {
        asked += 1;
        running += 1;
        most = Math.max(most, running);
        await sleep(clock, ANSWER_MS);
        running -= 1;
        return { group: 'g', epoch, rank } as RankReport;
      },
    }) as RankEngine;
  const finder = createEngineFinder({
    list: async () => Array.from({ length: RANKS }, (_, at) => ({ host: 'h', port: 1 + at })),
    open: (_, port) => engineOf(port - 1),
    clock,
    log: silentEventLog,
  });
  const find = async (rank: number): Promise<RankEngine | undefined> => {
    let found: { engine: RankEngine | undefined } | undefined;
    void finder.find('g', epoch, rank).then((engine) => {
      found = { engine };
    });
    for (let ms = 0; ms < 2_000 && !found; ms += 10) await clock.advance(10);
    return found?.engine;
  };
  const formAnew = (): void => {
    epoch += 1;
  };
  return { clock, find, formAnew, asked: () => asked, most: () => most };
};

describe('finding the engine of a rank whose agent is silent', () => {
  // Streams wait while a pass is held for a rank whose agent was killed. All 192 engines were asked at once, their
  // answers came too late over the agent's link, and the one that was wanted was not found.
  it('asks a few at a time', async () => {
    const finder = start();
    expect(await finder.find(150)).to.not.equal(undefined);
    expect(finder.most()).to.be.at.most(12);
  });

  it('asks each only once while the group stays as it is', async () => {
    const finder = start();
    await finder.find(150);
    await finder.clock.advance(1_000);
    await finder.find(3);
    expect(finder.asked()).to.equal(RANKS);
  });

  // An address may be another rank's in the next epoch.
  it('asks all anew when the group has formed anew', async () => {
    const finder = start();
    await finder.find(150);
    finder.formAnew();
    await finder.clock.advance(1_000);
    expect(await finder.find(150)).to.not.equal(undefined);
    expect(finder.asked()).to.equal(2 * RANKS);
  });
});
