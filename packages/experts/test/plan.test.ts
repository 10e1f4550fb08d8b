import { expect } from 'chai';
import * as fc from 'fast-check';
import {
  createExpertMap,
  createLoadTracker,
  createPlacementState,
  createRankSpeeds,
  createTrackerFor,
  evenLayers,
  faultsOfMap,
  isWorthwhile,
  limitsFor,
  planMap,
} from '../src/index.js';
import type { GroupLayout, ReportAnswer } from '../src/index.js';
import { createFakeGroup, createSeededRandom } from './fakes/fake-group.js';
import { expectOneMap } from './fakes/faulty-change.js';

const layout: GroupLayout = { rankCount: 8, layers: 4, experts: 16, slots: 3, bytesPerExpert: 1 };
const noPause = (): Promise<void> => Promise.resolve();
const normalSpeeds = new Array<number>(layout.rankCount).fill(1);

/** Popularity that decreases by this factor from one expert to the next, rotated by layer. */
const fallingShares = (factor: number): number[][] =>
  Array.from({ length: layout.layers }, (_, layer) => {
    const weights = Array.from(
      { length: layout.experts },
      (__, e) => factor ** ((e + 5 * layer) % layout.experts),
    );
    const sum = weights.reduce((a, b) => a + b, 0);
    return weights.map((weight) => weight / sum);
  });

describe('the expert map', () => {
  const evenMap = { version: 1, layers: evenLayers(layout) };

  it('names every broken rule', () => {
    const [first = [], ...rest] = evenMap.layers;
    const broken = first.map(({ expert, ranks }) => {
      if (expert === 0) return { expert, ranks: [] };
      if (expert === 1) return { expert, ranks: [2, 2, 9] };
      return { expert, ranks: expert < 6 ? [5] : ranks };
    });
    expect(faultsOfMap({ version: 1, layers: [broken, ...rest] }, layout)).toMatchSnapshot();
  });

  it('changes to larger versions only', () => {
    const map = createExpertMap(evenMap, layout);
    if (!map.ok) throw new Error('the even map must be valid');
    expect(map.value.next({ ...evenMap, version: 2 }).ok).to.equal(true);
    const same = map.value.next(evenMap);
    const fault = { fault: 'version-not-larger', version: 1, current: 1 };
    expect(same).to.deep.equal({ ok: false, err: [fault] });
  });
});

describe('a plan', () => {
  const limits = limitsFor('skew', 600_000, layout.rankCount);

  it('is valid and never worse than the current map, for any load', async () => {
    const weights = fc.array(fc.integer({ min: 1, max: 1000 }), {
      minLength: layout.experts,
      maxLength: layout.experts,
    });
    const speed = fc.constantFrom(1, 1, 1, 0.5, 0.8);
    const run = async (byLayer: number[][], speeds: number[]): Promise<void> => {
      const popularity = byLayer.map((layer) => {
        const sum = layer.reduce((a, b) => a + b, 0);
        return layer.map((weight) => weight / sum);
      });
      const load = { popularity, speeds, fixedShare: 0.3 };
      const plan = await planMap(evenLayers(layout), layout, load, limits, noPause);
      expect(faultsOfMap({ version: 1, layers: plan.layers }, layout)).to.deep.equal([]);
      expect(plan.after).to.be.at.most(plan.before + 1e-9);
      expect(plan.moves.length).to.be.at.most(limits.maxMoves + 1);
    };
    const layers = fc.array(weights, { minLength: layout.layers, maxLength: layout.layers });
    const speeds = fc.array(speed, { minLength: layout.rankCount, maxLength: layout.rankCount });
    await fc.assert(fc.asyncProperty(layers, speeds, run), { seed: 7, numRuns: 50 });
  });

  it('moves few experts, and none once the load is even', async () => {
    const load = { popularity: fallingShares(0.8), speeds: normalSpeeds, fixedShare: 0 };
    const first = await planMap(evenLayers(layout), layout, load, limits, noPause);
    expect(first.after).to.be.below(1.05);
    expect(first.moves.length).to.be.within(1, 16);
    const second = await planMap(first.layers, layout, load, limits, noPause);
    expect(isWorthwhile('skew', second)).to.equal(false);
  });

  it('assigns less work to a straggler', async () => {
    const speeds = normalSpeeds.map((speed, rank) => (rank === 2 ? 0.5 : speed));
    const load = { popularity: fallingShares(1), speeds, fixedShare: 0 };
    const plan = await planMap(evenLayers(layout), layout, load, limits, noPause);
    const work = createPlacementState(plan.layers, layout, { ...load, speeds: normalSpeeds }).times;
    expect(plan.after).to.be.below(plan.before * 0.7);
    expect(work[2]).to.be.below(0.7);
  });

  it('moves fewer experts when the cost of rebalancing weighs more', async () => {
    const load = { popularity: fallingShares(0.8), speeds: normalSpeeds, fixedShare: 0 };
    const costLimits = limitsFor('rebalancing-cost', 60_000, layout.rankCount);
    const skewLimits = limitsFor('skew', 60_000, layout.rankCount);
    const less = await planMap(evenLayers(layout), layout, load, costLimits, noPause);
    const more = await planMap(evenLayers(layout), layout, load, skewLimits, noPause);
    expect(less.moves.length).to.be.below(more.moves.length);
    expect(less.after).to.be.above(more.after);
  });
});

describe('speeds of ranks', () => {
  const work = normalSpeeds;
  const times = (slow: number) => work.map((_, rank) => (rank === 2 ? 5_000 / slow : 5_000));

  it('call a rank a straggler after three clear reports, and take it back after three', () => {
    const speeds = createRankSpeeds(layout.rankCount);
    const verdicts = [0.6, 1, 0.6, 0.6, 0.6, 0.6, 1, 1, 1, 1].map((slow) => {
      speeds.record(work, times(slow));
      return speeds.stragglers().map(({ rank, speed }) => [rank, Number(speed.toFixed(2))]);
    });
    expect(verdicts).toMatchSnapshot();
  });

  it('do not make a rank a straggler because of noise', () => {
    const random = createSeededRandom(3);
    const speeds = createRankSpeeds(layout.rankCount);
    for (let round = 0; round < 500; round += 1) {
      speeds.record(
        work,
        work.map(() => (random() < 0.2 ? undefined : 5_000 * (0.7 + 0.6 * random()))),
      );
      expect(speeds.stragglers()).to.deep.equal([]);
    }
  });
});

// Reports of some engines are missing, so experts that only they hold look unpopular. A plan based
// on that would move experts for nothing, and the next complete round would move them back.
describe('popularity', () => {
  const report = (tokens: number[]): ReportAnswer => ({
    outcome: 'ok',
    at: tokens.map((_, at) => at),
    tokens,
  });

  it('is not updated by a round in which a report is missing for too long', () => {
    const small = { ...layout, layers: 1, experts: 2 };
    const tracker = createLoadTracker({ layout: small, staleMs: 25 });
    const nodes = ['a', 'b'];
    const round = (atMs: number, a: number[] | undefined, b: number[] | undefined): boolean => {
      if (a) tracker.record('a', report(a), atMs);
      if (b) tracker.record('b', report(b), atMs);
      return tracker.endRound(nodes, atMs);
    };
    expect(round(0, [10, 0], [0, 10])).to.equal(false);
    expect(round(10, [40, 0], [0, 20])).to.equal(true);
    expect(tracker.popularity()).to.deep.equal([[0.75, 0.25]]);
    expect(round(20, [70, 0], undefined)).to.equal(true);
    expect(tracker.popularity()).to.deep.equal([[0.75, 0.25]]);
    expect(round(40, [100, 0], undefined)).to.equal(false);
    expect(tracker.popularity()).to.deep.equal([[0.75, 0.25]]);
  });

  it('causes few changes when only noise and lost reports make it vary', async () => {
    const random = createSeededRandom(11);
    const tracker = createTrackerFor(layout, 60_000);
    const shares = fallingShares(0.95);
    const counts = new Array<number>(layout.layers * layout.experts).fill(0);
    let layers = evenLayers(layout);
    let changes = 0;
    for (let minute = 0; minute < 60; minute += 1) {
      shares.flat().forEach((share, at) => {
        counts[at] = (counts[at] ?? 0) + share * 1e6 * (0.8 + 0.4 * random());
      });
      if (random() > 0.2) tracker.record('a', report([...counts]), minute * 60_000);
      const isComplete = tracker.endRound(['a'], minute * 60_000);
      const popularity = tracker.popularity();
      if (!isComplete || !popularity) continue;
      const limits = limitsFor('skew', tracker.validityMs(), layout.rankCount);
      const load = { popularity, speeds: normalSpeeds, fixedShare: 0.4 };
      const plan = await planMap(layers, layout, load, limits, noPause);
      if (!isWorthwhile('skew', plan)) continue;
      if (minute > 5) changes += 1;
      layers = plan.layers;
    }
    // One hour of noise. Plans that followed it would change the map almost every minute.
    expect(changes).to.be.at.most(5);
  });
});

describe('rebalancing', () => {
  it('waits while live traffic needs the VM', async () => {
    let mayMove = false;
    const group = createFakeGroup({ mayMove: () => mayMove });
    await group.clock.advance(3_000);
    expect(group.oracle.versions.size).to.equal(1);
    expect(group.metrics.counter('expert_plans_skipped', { reason: 'live-traffic' })).to.be.above(
      3,
    );
    mayMove = true;
    await group.until(() => group.oracle.versions.size >= 2);
    await expectOneMap(group);
  });

  it('loads weights at few engines at a time, even in a large group', async () => {
    const group = createFakeGroup({ ranks: 8 });
    let loading = 0;
    let maxLoading = 0;
    group.network.setDeliveries(({ kind, method }) => {
      if (method !== 'experts.prepare') return undefined;
      loading += kind === 'request' ? 1 : -1;
      maxLoading = Math.max(maxLoading, loading);
      return undefined;
    });
    await group.until(() => group.oracle.versions.size >= 2);
    expect(maxLoading).to.be.within(1, 2);
  });
});
