/**
 * Ways to enforce a rate limit that one upstream advertises for all entries together: each entry for itself, an equal
 * part for each, or one count that all draw from. Entries are the product's limits before callers that come at random,
 * each of whom would be sent to this upstream; what is counted is what it gets.
 */

import { createManualClock, createSeededRandom } from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import { createRateLimit } from '@plantaindrum/gateway';
import type { RateLimit } from '@plantaindrum/gateway';
import { maxInWindow } from '@plantaindrum/stand-ins';
import type { ExperimentOptions } from './table.js';

/** How entries keep the limit. */
export type LimitWay = 'each-alone' | 'equal-parts' | 'one-count';

/** What an upstream got. */
export interface LimitFigures {
  way: LimitWay;
  fleet: string;
  perSecond: number;
  /** Requests in the fullest window, and what is allowed in one. */
  mostInWindow: number;
  allowed: number;
  /** Requests that were sent, and those that the limit comes to. */
  sent: number;
  due: number;
}

/** Entries, the callers of all of them together, and how long a word takes from one to another. */
interface Fleet {
  name: string;
  entries: number;
  callersPerS: number;
  linkMs: number;
  /** Part of the callers that come to the first entry. */
  toFirst: number;
}

const WAYS: readonly LimitWay[] = ['each-alone', 'equal-parts', 'one-count'];
const FLEETS: readonly Fleet[] = [
  { name: '4 entries', entries: 4, callersPerS: 53, linkMs: 3, toFirst: 0.25 },
  { name: '4, slow to hear', entries: 4, callersPerS: 53, linkMs: 60, toFirst: 0.25 },
  { name: '4, callers at one', entries: 4, callersPerS: 53, linkMs: 3, toFirst: 0.97 },
  { name: '36 entries', entries: 36, callersPerS: 370, linkMs: 3, toFirst: 0.03 },
];
const LIMITS_PER_S: readonly number[] = [0.5, 1, 5, 20];
/** An upstream may get this many times its limit, and some more, in a window. */
const ALLOWED = { times: 1.5, more: 5, windowMs: 4_000 };
const MS_PER_S = 1_000;

const startEntries = (way: LimitWay, fleet: Fleet, clock: ManualClock): RateLimit[] => {
  const part = way === 'equal-parts' ? 1 / fleet.entries : 1;
  return Array.from({ length: fleet.entries }, () => createRateLimit(clock, () => part));
};

const playOne = async (
  way: LimitWay,
  fleet: Fleet,
  perSecond: number,
  random: Random,
  lengthMs: number,
): Promise<LimitFigures> => {
  const clock = createManualClock();
  const entries = startEntries(way, fleet, clock);
  entries.forEach((entry) => entry.set(perSecond));
  const sentAt: number[] = [];

  const send = (from: number): void => {
    sentAt.push(clock.monotonic());
    entries[from]?.spend(1);
    if (way !== 'one-count') return;
    clock.after(fleet.linkMs, () => {
      entries.forEach((entry, at) => {
        if (at !== from) entry.spend(1);
      });
    });
  };

  while (clock.monotonic() < lengthMs) {
    await clock.advance((-Math.log(1 - random()) * MS_PER_S) / fleet.callersPerS);
    const other = 1 + Math.floor(random() * (fleet.entries - 1));
    const at = random() < fleet.toFirst ? 0 : other;
    if (entries[at]?.waitMs() === 0) send(at);
  }
  const { times, more, windowMs } = ALLOWED;
  return {
    way,
    fleet: fleet.name,
    perSecond,
    mostInWindow: maxInWindow(sentAt, ALLOWED.windowMs),
    allowed: (times * perSecond * windowMs) / MS_PER_S + more,
    sent: sentAt.length,
    due: (perSecond * lengthMs) / MS_PER_S,
  };
};

/** Plays all ways on all fleets and limits. */
export const run = async ({
  seed,
  quick,
  print,
}: ExperimentOptions): Promise<Record<string, unknown>> => {
  const figures: LimitFigures[] = [];
  for (const fleet of FLEETS) {
    for (const perSecond of LIMITS_PER_S) {
      for (const way of WAYS) {
        const random = createSeededRandom(seed);
        const played = await playOne(way, fleet, perSecond, random, quick ? 20_000 : 60_000);
        figures.push(played);
        const limit = `${perSecond}/s`.padEnd(8);
        const window = `${played.mostInWindow} of ${played.allowed} in a window`;
        const used = (played.sent / played.due).toFixed(2);
        print(`${fleet.name.padEnd(20)}${limit}${way.padEnd(14)}${window}, used ${used}`);
      }
    }
  }
  return { figures };
};
