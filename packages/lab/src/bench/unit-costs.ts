/** Unit costs as ratios to the plainest code that does the same, both in one run: no clock of a machine matters. */

import { createSeededRandom } from '@plantaindrum/common';
import type { Random } from '@plantaindrum/common';
import { pickOffer } from '@plantaindrum/gateway';
import { createFrameSplitter, decodeFrame, encodeFrame } from '@plantaindrum/link';

/** One unit cost. */
export interface UnitCost {
  name: string;
  against: string;
  ratio: number;
}

const MOST_BYTES = 1_024;
const ROUNDS = 9;
const TIMES_A_ROUND = 2_000;

/** Time of a round of calls, in ms. */
const timeRound = (work: () => unknown): number => {
  const began = performance.now();
  for (let n = 0; n < TIMES_A_ROUND; n += 1) work();
  return performance.now() - began;
};

/** Least of several rounds by turns: what else the machine does only ever adds. */
const ratioOf = (work: () => unknown, plain: () => unknown): number => {
  let least = Infinity;
  let leastPlain = Infinity;
  for (let round = 0; round < ROUNDS; round += 1) {
    least = Math.min(least, timeRound(work));
    leastPlain = Math.min(leastPlain, timeRound(plain));
  }
  return least / leastPlain;
};

const choiceCost = (upstreams: number, random: Random): UnitCost => {
  const offers = Array.from({ length: upstreams }, () => ({ cost: random(), free: 4 * random() }));
  const leastCost = (): number => offers.reduce((least, { cost }) => Math.min(least, cost), 1);
  return {
    name: `choice among ${upstreams} upstreams`,
    against: 'least of as many costs',
    ratio: ratioOf(() => pickOffer(offers, upstreams / 10, random), leastCost),
  };
};

const heartbeatCost = (): UnitCost => {
  const ping = { t: 'ping', seq: 7, intentOffset: 41 } as const;
  const splitter = createFrameSplitter(MOST_BYTES);
  const thereAndBack = (): unknown => {
    const split = splitter.push(encodeFrame(ping));
    return split.ok && split.value.map(decodeFrame);
  };
  return {
    name: 'a heartbeat as a frame, there and back',
    against: 'the same fields as JSON',
    ratio: ratioOf(thereAndBack, () => JSON.parse(JSON.stringify(ping)) as unknown),
  };
};

/** Measures the unit costs that need no process of their own. */
export const measureUnitCosts = (seed: number): UnitCost[] => {
  const random = createSeededRandom(seed);
  return [choiceCost(16, random), choiceCost(200, random), heartbeatCost()];
};
