import { expect } from 'chai';
import { createManualClock, createSeededRandom } from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import { createArrivals } from '../src/upstreams/arrivals.js';
import { pickOffer } from '../src/upstreams/choice.js';

interface Load {
  entries: number;
  upstreams: number;
  places: number;
  perSecond: number;
  holdMs: number;
}

const TELL_MS = 60;
const STEP_MS = 5;
const PLAYED_MS = 12_000;

interface Request {
  entry: number;
  upstream: number;
  endsAt: number;
}

/** Requests a second that came to an upstream without a free place. */
const play = async (load: Load, reckons: boolean): Promise<number> => {
  const { entries, upstreams, places, perSecond, holdMs } = load;
  const clock: ManualClock = createManualClock();
  const random: Random = createSeededRandom(4);
  const all = Array.from({ length: upstreams }, (_, at) => at);
  const own = Array.from({ length: entries }, () => all.map(() => 0));
  const told = own.map((counts) => [...counts]);
  const seen = own.map(() => createArrivals(clock));
  let running: Request[] = [];
  let beyond = 0;

  const tell = (entry: number): void => {
    all.forEach((at) => {
      const more = (own[entry]?.[at] ?? 0) - (told[entry]?.[at] ?? 0);
      seen.forEach((arrivals, other) => {
        if (other !== entry) arrivals.note('s', more);
      });
    });
    told[entry] = [...(own[entry] ?? [])];
  };
  const arrive = (): void => {
    const entry = Math.floor(random() * entries);
    const believed = all.map((at) =>
      told.reduce((sum, counts, e) => sum + ((e === entry ? own[e] : counts)?.[at] ?? 0), 0),
    );
    const offers = believed.map((n) => ({ cost: n / places, free: places - n }));
    const unheard = reckons ? (seen[entry]?.unheard('s') ?? 0) : 0;
    const upstream = pickOffer(offers, unheard, random);
    const there = running.filter((request) => request.upstream === upstream).length;
    if (there >= places) beyond += 1;
    const counts = own[entry];
    if (counts) counts[upstream] = (counts[upstream] ?? 0) + 1;
    const endsAt = clock.monotonic() + holdMs * (0.4 + 1.2 * random());
    running.push({ entry, upstream, endsAt });
  };
  const endThose = (): void => {
    running
      .filter(({ endsAt }) => endsAt <= clock.monotonic())
      .forEach(({ entry, upstream }) => {
        const counts = own[entry];
        if (counts) counts[upstream] = (counts[upstream] ?? 0) - 1;
      });
    running = running.filter(({ endsAt }) => endsAt > clock.monotonic());
  };

  for (let ms = 0; ms < PLAYED_MS; ms += STEP_MS) {
    await clock.advance(STEP_MS);
    endThose();
    own.forEach((_, entry) => {
      const turn = Math.floor((entry * TELL_MS) / entries / STEP_MS) * STEP_MS;
      if (ms % TELL_MS === turn) tell(entry);
    });
    for (let due = (perSecond * STEP_MS) / 1_000; due > random(); due -= 1) arrive();
  }
  return (beyond * 1_000) / PLAYED_MS;
};

describe('choosing among upstreams', () => {
  // Callers wait at a full server while a quarter of all places is free: each entry sends to the server
  // that looked emptiest when the others were last heard of, and so do the others.
  [
    { entries: 5, upstreams: 12, places: 8, perSecond: 40, holdMs: 1_700 },
    { entries: 16, upstreams: 63, places: 7, perSecond: 183, holdMs: 1_900 },
    { entries: 36, upstreams: 192, places: 4, perSecond: 328, holdMs: 1_700 },
  ].forEach((load) => {
    it(`does not meet the others' requests, with ${load.entries} entries`, async () => {
      const [herding, reckoning] = [await play(load, false), await play(load, true)];
      expect(reckoning).to.be.at.most(Math.max(1, herding / 4));
    });
  });

  it('takes the least loaded one while nobody else sends', () => {
    const offers = [0.5, 0.25, 0.75].map((cost) => ({ cost, free: 4 - 4 * cost }));
    expect(pickOffer(offers, 0, () => 0.9)).to.equal(1);
  });

  it('leaves out those that fail or are full, however many requests come', () => {
    const offers = [
      { cost: 0.5, free: 2 },
      { cost: 1.5, free: 4 },
      { cost: 0.9, free: 0 },
    ];
    const picked = [0, 0.5, 0.99].map((at) => pickOffer(offers, 100, () => at));
    expect(picked).to.deep.equal([0, 0, 0]);
  });

  it('takes one all the same when none has a place, and none when there is none', () => {
    expect(pickOffer([{ cost: 3, free: -2 }], 5, () => 0.5)).to.equal(0);
    expect(pickOffer([], 5, () => 0.5)).to.equal(-1);
  });

  // A choice that looks at each upstream for each other one takes 25 times as long at 200 upstreams, for each request.
  it('looks at 200 upstreams a few times each, and sorts them once', () => {
    const random = createSeededRandom(2);
    let looks = 0;
    const counted = (value: number): number => {
      const number = {
        valueOf: () => {
          looks += 1;
          return value;
        },
      };
      return number as unknown as number;
    };
    const upstreams = 200;
    const offers = Array.from({ length: upstreams }, () => ({
      cost: counted(random()),
      free: counted(4 * random()),
    }));
    const sorting = 2 * Math.ceil(Math.log2(upstreams));
    for (let n = 0; n < 300; n += 1) {
      looks = 0;
      pickOffer(offers, 18, random);
      expect(looks).to.be.above(upstreams);
      expect(looks).to.be.at.most(upstreams * (6 + sorting));
    }
  });
});
