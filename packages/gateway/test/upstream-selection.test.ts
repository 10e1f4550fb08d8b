import { expect } from 'chai';
import { createManualClock, createSeededRandom } from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import { createPeerArrivals } from '../src/upstreams/peer-arrivals.js';
import { selectCandidate } from '../src/upstreams/upstream-selection.js';

interface Load {
  entries: number;
  upstreams: number;
  slots: number;
  perSecond: number;
  holdMs: number;
}

const REPORT_INTERVAL_MS = 60;
const STEP_MS = 5;
const SIMULATED_MS = 12_000;

interface Request {
  entry: number;
  upstream: number;
  endsAt: number;
}

/** Simulates the entries; returns the requests a second that were sent to an upstream without a free slot. */
const simulate = async (load: Load, estimatesPeers: boolean): Promise<number> => {
  const { entries, upstreams, slots, perSecond, holdMs } = load;
  const clock: ManualClock = createManualClock();
  const random: Random = createSeededRandom(4);
  const all = Array.from({ length: upstreams }, (_, index) => index);
  const actual = Array.from({ length: entries }, () => all.map(() => 0));
  const reported = actual.map((counts) => [...counts]);
  const estimates = actual.map(() => createPeerArrivals(clock));
  let running: Request[] = [];
  let overflows = 0;

  const report = (entry: number): void => {
    all.forEach((index) => {
      const increase = (actual[entry]?.[index] ?? 0) - (reported[entry]?.[index] ?? 0);
      estimates.forEach((arrivals, other) => {
        if (other !== entry) arrivals.record('s', increase);
      });
    });
    reported[entry] = [...(actual[entry] ?? [])];
  };
  const sendRequest = (): void => {
    const entry = Math.floor(random() * entries);
    const knownLoads = all.map((index) =>
      reported.reduce(
        (sum, counts, e) => sum + ((e === entry ? actual[e] : counts)?.[index] ?? 0),
        0,
      ),
    );
    const candidates = knownLoads.map((n) => ({ score: n / slots, free: slots - n }));
    const unreported = estimatesPeers ? (estimates[entry]?.unreported('s') ?? 0) : 0;
    const upstream = selectCandidate(candidates, unreported, random);
    const inFlight = running.filter((request) => request.upstream === upstream).length;
    if (inFlight >= slots) overflows += 1;
    const counts = actual[entry];
    if (counts) counts[upstream] = (counts[upstream] ?? 0) + 1;
    const endsAt = clock.monotonic() + holdMs * (0.4 + 1.2 * random());
    running.push({ entry, upstream, endsAt });
  };
  const endDueRequests = (): void => {
    running
      .filter(({ endsAt }) => endsAt <= clock.monotonic())
      .forEach(({ entry, upstream }) => {
        const counts = actual[entry];
        if (counts) counts[upstream] = (counts[upstream] ?? 0) - 1;
      });
    running = running.filter(({ endsAt }) => endsAt > clock.monotonic());
  };

  for (let ms = 0; ms < SIMULATED_MS; ms += STEP_MS) {
    await clock.advance(STEP_MS);
    endDueRequests();
    actual.forEach((_, entry) => {
      const offsetMs = Math.floor((entry * REPORT_INTERVAL_MS) / entries / STEP_MS) * STEP_MS;
      if (ms % REPORT_INTERVAL_MS === offsetMs) report(entry);
    });
    for (let due = (perSecond * STEP_MS) / 1_000; due > random(); due -= 1) sendRequest();
  }
  return (overflows * 1_000) / SIMULATED_MS;
};

describe('upstream selection', () => {
  // Guards against collisions: entries report their load with a delay, so all of them could send to the upstream that
  // looked least loaded in the last reports. Requests would wait there while a quarter of all slots are free.
  [
    { entries: 5, upstreams: 12, slots: 8, perSecond: 40, holdMs: 1_700 },
    { entries: 16, upstreams: 63, slots: 7, perSecond: 183, holdMs: 1_900 },
    { entries: 36, upstreams: 192, slots: 4, perSecond: 328, holdMs: 1_700 },
  ].forEach((load) => {
    it(`does not collide with the requests of other entries, with ${load.entries} entries`, async () => {
      const [withoutEstimate, withEstimate] = [
        await simulate(load, false),
        await simulate(load, true),
      ];
      expect(withEstimate).to.be.at.most(Math.max(1, withoutEstimate / 4));
    });
  });

  it('selects the least loaded upstream when no other entry sends', () => {
    const candidates = [0.5, 0.25, 0.75].map((score) => ({ score, free: 4 - 4 * score }));
    expect(selectCandidate(candidates, 0, () => 0.9)).to.equal(1);
  });

  it('excludes failing and full upstreams, however many requests are expected', () => {
    const candidates = [
      { score: 0.5, free: 2 },
      { score: 1.5, free: 4 },
      { score: 0.9, free: 0 },
    ];
    const selected = [0, 0.5, 0.99].map((value) => selectCandidate(candidates, 100, () => value));
    expect(selected).to.deep.equal([0, 0, 0]);
  });

  it('selects a full upstream if all are full, and none if there are none', () => {
    expect(selectCandidate([{ score: 3, free: -2 }], 5, () => 0.5)).to.equal(0);
    expect(selectCandidate([], 5, () => 0.5)).to.equal(-1);
  });

  // Guards against a selection of quadratic cost: comparing each upstream with each other one takes 25 times as long
  // at 200 upstreams, for each request.
  it('reads each of 200 upstreams a few times, and sorts them once', () => {
    const random = createSeededRandom(2);
    let reads = 0;
    const counted = (value: number): number => {
      const number = {
        valueOf: () => {
          reads += 1;
          return value;
        },
      };
      return number as unknown as number;
    };
    const upstreams = 200;
    const candidates = Array.from({ length: upstreams }, () => ({
      score: counted(random()),
      free: counted(4 * random()),
    }));
    const sorting = 2 * Math.ceil(Math.log2(upstreams));
    for (let n = 0; n < 300; n += 1) {
      reads = 0;
      selectCandidate(candidates, 18, random);
      expect(reads).to.be.above(upstreams);
      expect(reads).to.be.at.most(upstreams * (6 + sorting));
    }
  });
});
