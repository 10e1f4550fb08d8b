/**
 * Ways to share evidence of a request that crashes upstreams: with nobody, by notes over links, by the platform's
 * record alone, or by both. Entries are the product's quarantines on a clock driven by hand; what is counted is how
 * many upstreams one request ends that keeps coming back.
 */

import {
  createManualClock,
  createMetrics,
  createSeededRandom,
  silentEventLog,
} from '@plantaindrum/common';
import type { ManualClock, Random } from '@plantaindrum/common';
import { createQuarantine, fingerprintOf } from '@plantaindrum/gateway';
import type { QuarantineUpdate, RequestQuarantine } from '@plantaindrum/gateway';
import type { ExperimentOptions } from './table.js';

/** How evidence reaches the other entries. */
export type SharingWay = 'none' | 'notes' | 'record' | 'notes-and-record';

/** What goes wrong besides the request itself. */
export type SharingTrouble = 'nothing' | 'store-down' | 'entry-cut-off' | 'all-entries-killed';

/** What one request did. */
export interface SharingFigures {
  way: SharingWay;
  trouble: SharingTrouble;
  /** Upstreams that ended. */
  crashes: number;
  /** Of these, later than the bound after the third. */
  late: number;
  /** Calls to the platform's store that wrote something. */
  writes: number;
}

const WAYS: readonly SharingWay[] = ['none', 'notes', 'record', 'notes-and-record'];
const TROUBLES: readonly SharingTrouble[] = [
  'nothing',
  'store-down',
  'entry-cut-off',
  'all-entries-killed',
];

const ENTRIES = 13;
const ATTEMPTS = 2;
/** The request comes again this long after it came last, in ms, at any entry. */
const COMES_MS = { least: 100, spread: 600 };
/** An upstream's end is noticed this long after its connections were reset, in ms. */
const NOTICED_MS = 82;
/** Time from an entry to another over their link, and over the platform's store, in ms. */
const LINK_MS = 2;
const STORE_MS = 12;
/** When the trouble begins and how long it lasts, in ms. */
const TROUBLE = { at: 0, forMs: 8_000 };
/** The request comes to the first entry this often; that one is cut off in one of the troubles. */
const TO_FIRST_SHARE = 0.3;
/** Crashes that are not to be prevented, and the time from the last of them in which all entries have to know. */
const FREE_CRASHES = 3;
const BOUND_MS = 4_000;

const HARMFUL = fingerprintOf({
  method: 'POST',
  path: '/p/x',
  organisation: 'o',
  body: Buffer.from('harmful'),
});

interface Fleet {
  entries: RequestQuarantine[];
  writes: () => number;
  restartAll: () => void;
}

const startFleet = (way: SharingWay, trouble: SharingTrouble, clock: ManualClock): Fleet => {
  const record = new Map<string, Uint8Array>();
  let writes = 0;
  const isTroubled = (): boolean =>
    clock.monotonic() >= TROUBLE.at && clock.monotonic() < TROUBLE.at + TROUBLE.forMs;
  const isStoreUp = (): boolean => !(trouble === 'store-down' && isTroubled());
  const isCutOff = (at: number): boolean => trouble === 'entry-cut-off' && at === 0 && isTroubled();
  const usesNotes = way === 'notes' || way === 'notes-and-record';
  const usesRecord = way === 'record' || way === 'notes-and-record';
  const entries: RequestQuarantine[] = [];

  const deliver = (from: number, news: QuarantineUpdate, delayMs: number): void => {
    clock.after(delayMs, () => {
      entries.forEach((entry, at) => {
        if (at !== from && !isCutOff(at)) entry.handlePeerUpdate(`e${from}`, news);
      });
    });
  };

  /** By the record alone, each word is a write that waits until the store is there. */
  const deliverByStore = (from: number, news: QuarantineUpdate): void => {
    if (!isStoreUp()) {
      clock.after(500, () => deliverByStore(from, news));
      return;
    }
    writes += 1;
    deliver(from, news, STORE_MS);
  };

  const start = (at: number): RequestQuarantine =>
    createQuarantine({
      node: `e${at}`,
      broadcast: (news) => {
        if (isCutOff(at)) return;
        if (usesNotes) deliver(at, news, LINK_MS);
        else if (usesRecord) deliverByStore(at, news);
      },
      publish: async (key, value) => {
        if (!usesRecord || !isStoreUp() || isCutOff(at)) return !usesRecord;
        writes += 1;
        if (value) record.set(key, value);
        return true;
      },
      clock,
      metrics: createMetrics(),
      log: silentEventLog,
    });

  const startAll = (): void => {
    entries.forEach((entry) => entry.close());
    entries.length = 0;
    for (let at = 0; at < ENTRIES; at += 1) entries.push(start(at));
    record.forEach((value, key) => entries.forEach((entry) => entry.applyRecord({ key, value })));
  };
  startAll();
  /** Entries that are linked again tell each other all they know. */
  if (trouble === 'entry-cut-off' && usesNotes) {
    clock.after(TROUBLE.at + TROUBLE.forMs, () => {
      entries.forEach((entry, at) => entries[0]?.handlePeerUpdate(`e${at}`, entry.fullUpdate()));
    });
  }
  return { entries, writes: () => writes, restartAll: startAll };
};

const playOne = async (
  way: SharingWay,
  trouble: SharingTrouble,
  random: Random,
  lengthMs: number,
): Promise<SharingFigures> => {
  const clock = createManualClock();
  const fleet = startFleet(way, trouble, clock);
  const crashedAt: number[] = [];
  let nextAt = 0;
  let isKilled = false;

  const attempt = async (entry: RequestQuarantine): Promise<void> => {
    const upstream = { instance: `i${crashedAt.length}`, startedAt: 0 };
    const run = entry.begin(HARMFUL, upstream);
    crashedAt.push(clock.monotonic());
    run.end();
    await clock.advance(NOTICED_MS);
    entry.handleEnd(upstream, 'refused-connection');
  };

  while (clock.monotonic() < lengthMs) {
    if (trouble === 'all-entries-killed' && crashedAt.length >= FREE_CRASHES && !isKilled) {
      isKilled = true;
      await clock.advance(50);
      fleet.restartAll();
    }
    const isFirst = random() < TO_FIRST_SHARE;
    const entry = fleet.entries[isFirst ? 0 : Math.floor(random() * ENTRIES)];
    for (let n = 0; n < ATTEMPTS && entry && !entry.refusal(HARMFUL); n += 1) await attempt(entry);
    nextAt += COMES_MS.least + random() * COMES_MS.spread;
    await clock.advance(Math.max(1, nextAt - clock.monotonic()));
  }
  const third = crashedAt[FREE_CRASHES - 1] ?? Infinity;
  const late = crashedAt.filter((at) => at > third + BOUND_MS).length;
  return { way, trouble, crashes: crashedAt.length, late, writes: fleet.writes() };
};

/** Plays all ways against all troubles. */
export const run = async ({
  seed,
  quick,
  print,
}: ExperimentOptions): Promise<Record<string, unknown>> => {
  const figures: SharingFigures[] = [];
  for (const trouble of TROUBLES) {
    for (const way of WAYS) {
      const random = createSeededRandom(seed);
      const played = await playOne(way, trouble, random, quick ? 10_000 : 30_000);
      figures.push(played);
      const { crashes, late, writes } = played;
      print(
        `${trouble.padEnd(20)}${way.padEnd(18)}crashes ${crashes}, late ${late}, writes ${writes}`,
      );
    }
  }
  return { figures };
};
