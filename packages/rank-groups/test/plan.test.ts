import { expect } from 'chai';
import fc from 'fast-check';
import { createManualClock } from '@plantaindrum/common';
import { createPopularity, imbalance, planChange } from '../src/index.js';
import type { GroupShape, Placement } from '../src/index.js';

const RANKS = 16;
const shape: GroupShape = { sets: 2, experts: 64, places: 5, spare: 2, copyMs: 100 };

const inTurn = (): Placement =>
  Array.from({ length: shape.sets }, () =>
    Array.from({ length: RANKS }, (_, rank) =>
      Array.from({ length: shape.experts }, (__, expert) => expert).filter(
        (expert) => expert % RANKS === rank,
      ),
    ),
  );

/** Shares that decrease along an order of the experts that differs between sets. */
const skewed = (seed: number): number[][] =>
  Array.from({ length: shape.sets }, (_, set) => {
    const weights = Array.from(
      { length: shape.experts },
      (__, expert) => 1 / (1 + ((expert * (7 + 2 * set) + seed) % shape.experts)) ** 1.1,
    );
    const total = weights.reduce((sum, n) => sum + n, 0);
    return weights.map((n) => n / total);
  });

const copiesOf = (before: Placement, after: Placement): number[] =>
  Array.from({ length: RANKS }, (_, rank) =>
    after.reduce((sum, ranks, set) => {
      const had = new Set(before[set]?.[rank]);
      return sum + (ranks[rank] ?? []).filter((expert) => !had.has(expert)).length;
    }, 0),
  );

describe('planning a change of map', () => {
  // Ranks refuse a map that leaves an expert without a rank, or gives a rank more experts than it
  // has slots, and the group would wait. Plans must be valid for any popularity.
  it('keeps the rules of maps and copies at most one expert a rank', () => {
    fc.assert(
      fc.property(fc.nat(10_000), fc.integer({ min: 1, max: 4 }), (seed, rounds) => {
        let placement = inTurn();
        for (let round = 0; round < rounds; round += 1) {
          const plan = planChange(placement, skewed(seed + round), shape, 'skew');
          if (!plan) return;
          expect(Math.max(...copiesOf(placement, plan.placement))).to.be.at.most(1);
          plan.placement.forEach((ranks) => {
            const experts = new Set(ranks.flat());
            expect(experts.size).to.equal(shape.experts);
            ranks.forEach((held) => {
              expect(held.length).to.be.at.most(shape.places);
              expect(new Set(held).size).to.equal(held.length);
            });
          });
          placement = plan.placement;
        }
      }),
      { seed: 9, numRuns: 60 },
    );
  });

  it('brings the busiest rank near the mean in a few small changes', () => {
    const shares = skewed(3);
    let placement = inTurn();
    const loads = [imbalance(placement, shares)];
    for (let change = 0; change < 4; change += 1) {
      const plan = planChange(placement, shares, shape, 'skew');
      placement = plan?.placement ?? placement;
      loads.push(imbalance(placement, shares));
    }
    expect(loads.map((load) => load.toFixed(2))).toMatchSnapshot();
  });

  it('moves fewer experts where the cost of moving counts more', () => {
    const shares = skewed(3);
    const copies = (['skew', 'rebalancing-cost'] as const).map((weighs) => {
      let placement = inTurn();
      let total = 0;
      for (let change = 0; change < 6; change += 1) {
        const plan = planChange(placement, shares, shape, weighs);
        total += plan?.copies ?? 0;
        placement = plan?.placement ?? placement;
      }
      return total;
    });
    expect(copies[1]).to.be.below(copies[0] ?? 0);
  });

  // Small experts cost fewer bytes to copy, so a change is worth more of them.
  it('moves more experts where they are small', () => {
    const copies = [111, 16].map((copyMs) => {
      const plan = planChange(inTurn(), skewed(3), { ...shape, copyMs }, 'skew');
      return plan?.copies ?? 0;
    });
    expect(copies[1]).to.be.at.least(copies[0] ?? 0);
    expect(planChange(inTurn(), skewed(3), { ...shape, copyMs: 1 }, 'skew')?.copies).to.equal(
      copies[1],
    );
  });

  // All ranks wait for the slowest in every pass. A rank that works at little more than half the
  // normal speed has to get fewer selections than the others.
  it('gives a slow rank less work', () => {
    const shares = skewed(3);
    const slowdowns = Array.from({ length: RANKS }, (_, rank) => (rank === 5 ? 1.8 : 1));
    let placement = inTurn();
    for (let change = 0; change < 6; change += 1) {
      placement = planChange(placement, shares, shape, 'skew', slowdowns)?.placement ?? placement;
    }
    const picksOf = (rank: number): number =>
      placement.reduce((sum, ranks, set) => {
        const hosts = (expert: number) => ranks.filter((held) => held.includes(expert)).length;
        const parts = (ranks[rank] ?? []).map((e) => (shares[set]?.[e] ?? 0) / hosts(e));
        return sum + parts.reduce((a, b) => a + b, 0);
      }, 0);
    const selections = Array.from({ length: RANKS }, (_, rank) => picksOf(rank));
    const mean = selections.reduce((a, b) => a + b, 0) / RANKS;
    expect(picksOf(5)).to.be.below(0.8 * mean);
  });

  // Planning for hundreds of ranks would block the agent for a tenth of a second, while orders and
  // answers wait.
  it('returns the most valuable part of a plan that is cut short', () => {
    const shares = skewed(7);
    const whole = planChange(inTurn(), shares, shape, 'skew');
    let edits = 3;
    const part = planChange(inTurn(), shares, shape, 'skew', [], () => {
      edits -= 1;
      return edits >= 0;
    });
    expect(part?.after).to.be.below(part?.before ?? 0);
    expect(part?.after).to.be.above(whole?.after ?? Infinity);
  });

  it('leaves an even group unchanged', () => {
    const even = Array.from({ length: shape.sets }, () =>
      new Array<number>(shape.experts).fill(1 / shape.experts),
    );
    expect(planChange(inTurn(), even, shape, 'skew')).to.equal(undefined);
  });
});

describe('popularity', () => {
  const REPORTING_RANKS = 6;
  const SAMPLE_MS = 60;
  const picksOf = (hot: number, scale = 1): number[] =>
    Array.from({ length: 8 }, (_, expert) => scale * (expert === hot ? 9_000 : 1_000));

  const start = (ranks = 16) => {
    const clock = createManualClock();
    const options = { sets: 1, experts: 8, ranks: () => ranks, sampleMs: () => SAMPLE_MS, clock };
    const popularity = createPopularity(options);
    /** Each rank reports its counts, one after the other, in the time of a sample. */
    const addSamples = async (count: number, of: (rank: number, n: number) => number[]) => {
      for (let n = 0; n < count; n += 1) {
        for (let rank = 0; rank < REPORTING_RANKS; rank += 1) {
          await clock.advance(SAMPLE_MS / REPORTING_RANKS);
          popularity.add(of(rank, n));
        }
      }
    };
    return { popularity, addSamples };
  };

  it('has no estimate before there are enough counts', () => {
    const { popularity } = start();
    popularity.add(new Array<number>(8).fill(10));
    expect(popularity.shares()).to.equal(undefined);
  });

  // Otherwise a map would be planned for the earlier popularity. A shift discards that at once, not
  // over the decay time of older counts.
  it('discards earlier popularity after a shift', async () => {
    const { popularity, addSamples } = start();
    await addSamples(10, () => picksOf(0));
    await addSamples(1, () => picksOf(5));
    const [shares] = popularity.shares() ?? [];
    expect(shares?.[5]).to.be.above(0.5);
    expect(shares?.[0]).to.be.below(0.1);
    expect(popularity.samplesSinceShift()).to.equal(0);
  });

  // A shift in the middle of a sample shows in it only by half. Samples of 16 ranks differ nearly
  // as much without a shift. In a group of 63 ranks there are so many streams that the shift stands
  // out, and the map changes one sample sooner.
  it('detects a shift from half a sample in a large group', async () => {
    const seen = [];
    for (const ranks of [16, 63]) {
      const { popularity, addSamples } = start(ranks);
      await addSamples(12, () => picksOf(0));
      await addSamples(1, () => picksOf(0).map((n, expert) => n + (expert === 5 ? 1_800 : 0)));
      seen.push(popularity.samplesSinceShift() === 0);
    }
    expect(seen).to.deep.equal([false, true]);
  });

  it('averages samples that differ by chance', async () => {
    const { popularity, addSamples } = start();
    await addSamples(10, (_, n) => picksOf(0).map((x) => x + ((n * 37) % 100)));
    expect(popularity.samplesSinceShift()).to.be.above(5);
  });

  // The content of the streams differs between ranks, and one of them processes a long prompt now
  // and then. The map must not be changed several times a second because of a single rank.
  it('does not take the counts of one rank for a shift', async () => {
    const { popularity, addSamples } = start();
    await addSamples(30, (rank, n) =>
      picksOf(0).map(
        (x, expert) => x + (expert === rank + 1 ? 3_000 : 0) * (n % 5 === rank ? 3 : 1),
      ),
    );
    expect(popularity.samplesSinceShift()).to.be.above(25);
    const [shares] = popularity.shares() ?? [];
    expect(shares?.[0]).to.be.within(0.35, 0.5);
  });

  // Popularity shifts every six samples, each time in the middle of a sample. If each shift raised
  // the typical difference, later ones would not be detected: plans would be made for a mixture of
  // old and new popularity, and every stream would be late.
  it('detects each of many frequent shifts', async () => {
    const { popularity, addSamples } = start();
    const of = (hot: number): number[] =>
      Array.from({ length: 8 }, (_, expert) => (expert === hot ? 4_000 : 1_000));
    const between = (a: number[], b: number[]): number[] =>
      a.map((n, expert) => (n + (b[expert] ?? 0)) / 2);
    await addSamples(6, () => of(7));
    const noticed: boolean[] = [];
    for (let shift = 0; shift < 20; shift += 1) {
      await addSamples(1, () => between(of((shift + 7) % 8), of(shift % 8)));
      const isInMiddle = popularity.samplesSinceShift() === 0;
      await addSamples(1, () => of(shift % 8));
      noticed.push(isInMiddle || popularity.samplesSinceShift() === 0);
      await addSamples(4, () => of(shift % 8));
    }
    expect(noticed.filter(Boolean).length).to.equal(20);
  });

  // Content changes so much from sample to sample that small shifts can't be told from chance; only
  // a difference well above the typical one is a shift.
  it('adapts to the typical difference between samples', async () => {
    const { popularity, addSamples } = start();
    await addSamples(40, (_, n) => picksOf(n % 2, 1));
    const seen = popularity.samplesSinceShift();
    await addSamples(4, (_, n) => picksOf(n % 2, 1));
    expect(popularity.samplesSinceShift()).to.be.above(seen);
  });
});
