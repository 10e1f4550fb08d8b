import { expect } from 'chai';
import { createManualClock, silentEventLog, sleep } from '@plantaindrum/common';
import { createEngineFinder } from '../src/index.js';
import type { RankEngine, RankReport } from '../src/index.js';

const RANKS = 192;
const ANSWER_MS = 5;

const start = () => {
  const clock = createManualClock();
  let epoch = 1;
  let queries = 0;
  let running = 0;
  let maxRunning = 0;
  const engineOf = (rank: number): RankEngine =>
    ({
      report: async () => {
        queries += 1;
        running += 1;
        maxRunning = Math.max(maxRunning, running);
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
  const formAgain = (): void => {
    epoch += 1;
  };
  return { clock, find, formAgain, queries: () => queries, maxRunning: () => maxRunning };
};

describe('finding the engine of a rank whose agent is not linked', () => {
  // Streams wait while a pass is held for a rank whose agent was killed. With all 192 engines
  // queried at once, the answers came too late over the agent's link, and the wanted engine was not
  // found.
  it('queries a few engines at a time', async () => {
    const finder = start();
    expect(await finder.find(150)).to.not.equal(undefined);
    expect(finder.maxRunning()).to.be.at.most(12);
  });

  it('queries each engine only once within an epoch', async () => {
    const finder = start();
    await finder.find(150);
    await finder.clock.advance(1_000);
    await finder.find(3);
    expect(finder.queries()).to.equal(RANKS);
  });

  // An address may belong to another rank in the next epoch.
  it('queries all engines again after the group has formed again', async () => {
    const finder = start();
    await finder.find(150);
    finder.formAgain();
    await finder.clock.advance(1_000);
    expect(await finder.find(150)).to.not.equal(undefined);
    expect(finder.queries()).to.equal(2 * RANKS);
  });
});
