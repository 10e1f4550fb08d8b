import { expect } from 'chai';
import {
  createManualClock,
  createMetrics,
  createSeededRandom,
  silentEventLog,
} from '@plantaindrum/common';
import { createCoordinator } from '../src/index.js';
import { createLead } from '../src/links/lead.js';
import { createNewsReader } from '../src/links/news-reader.js';
import { createFakeRanks } from './fakes/fake-ranks.js';

const RANKS = 4;

/** A coordinator and a reader of news beside a lead that a test moves; counts the timers they arm. */
const start = () => {
  const manual = createManualClock();
  let timers = 0;
  let asked = 0;
  let isLowest = false;
  const clock = {
    ...manual,
    after: (ms: number, fn: () => void) => {
      timers += 1;
      return manual.after(ms, fn);
    },
  };
  const lead = createLead(() => isLowest);
  const group = createFakeRanks({ size: RANKS, clock: manual, fate: () => 'slow', lateMs: 1 });
  const coordinator = createCoordinator({
    port: { ...group.port(() => true), placements: async () => new Map(), noteMapInUse: () => {} },
    ownRank: 1,
    shape: { sets: 1, experts: RANKS, places: 2, spare: 1, copyMs: 20 },
    weighs: 'skew',
    isLowest: lead.isLowest,
    untilLowest: lead.untilLowest,
    knownPlacement: () => undefined,
    newsEveryMs: () => 80,
    orderOwnFromAfar: () => undefined,
    clock,
    random: createSeededRandom(3),
    metrics: createMetrics(),
    log: silentEventLog,
  });
  const news = createNewsReader({
    untilCoordinating: lead.untilLowest,
    news: async () => {
      asked += 1;
      return { news: { reports: [], picks: [] }, heard: RANKS, ranks: RANKS };
    },
    onReport: () => {},
    onPicks: () => {},
    clock,
  });
  return {
    advance: manual.advance,
    timers: () => timers,
    asked: () => asked,
    setLowest: (value: boolean) => {
      isLowest = value;
      lead.noteChange();
    },
    close: () => {
      coordinator.close();
      news.close();
    },
  };
};

describe('an agent that does not coordinate', () => {
  // Each agent of a group looked fifty times a second whether it coordinates.
  it('arms no timer while another one does', async () => {
    const played = start();
    await played.advance(500);
    const before = played.timers();
    await played.advance(5_000);
    expect(played.timers()).to.equal(before);
    expect(played.asked()).to.equal(0);
    played.close();
  });

  it('begins as soon as no lower rank is linked, and stops when one is', async () => {
    const played = start();
    await played.advance(500);
    played.setLowest(true);
    await played.advance(10);
    expect(played.asked()).to.equal(1);
    await played.advance(1_000);
    played.setLowest(false);
    await played.advance(200);
    const { asked, timers } = { asked: played.asked(), timers: played.timers() };
    expect(asked).to.be.greaterThan(5);
    await played.advance(2_000);
    expect([played.asked(), played.timers()]).to.deep.equal([asked, timers]);
    played.close();
  });
});
