/** Plays one scenario on real processes. */

import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@plantaindrum/common';
import type { CrashPoint } from '@plantaindrum/stand-ins';
import { createPromptCallers } from './callers.js';
import { computeFigures, lastBoundCrashAt, STABILITY_WINDOW_MS } from './figures.js';
import type { CaseFigures } from './figures.js';
import { createPromptSource } from './prompts.js';
import type { Scenario } from './scenarios.js';
import { startSite } from './site.js';
import type { CrashSite } from './site.js';

/** Options of `playScenario`. */
export interface PlayOptions {
  seed: number;
  /** Distinguishes scenarios that are played at the same time. */
  block: number;
  /** Time for which sound requests are counted at the end, in ms. */
  countMs: number;
}

const ENTRIES = 4;
const SERVERS = 8;
const CRASH_POINTS: readonly CrashPoint[] = ['nothing', 'head', 'event'];
/** Time for entries to be linked, and time before the first crash in which sound requests are counted, in ms. */
const SETTLE_MS = 2_000;
const BEFORE_MS = 2_500;
const SOUND_PER_S = 40;
const HARMFUL_PER_S = { least: 2, spread: 3 };
/** Longest time until the fifth crash, in ms. */
const CRASHES_MS = 20_000;
const MASS_CRASHES = 8;
const MASS_CRASH_EVERY_MS = 900;
const MASS_CRASH_SERVERS = 3;
const POLL_MS = 50;
const MS_PER_S = 1_000;

/**
 * Waits for twice the stability window after the crash from which the parts have to be known, and for the time in which
 * requests are counted; again if a crash falls into that, as the parts have to be known from then on only. A calm that
 * hasn't come when the time is up is not waited for.
 */
const countInCalm = async (
  lastCrashAt: () => number | undefined,
  sinceMs: number,
  countMs: number,
): Promise<void> => {
  const deadline = performance.now() + CRASHES_MS;
  const neededMs = 2 * STABILITY_WINDOW_MS + countMs;
  while (performance.now() < deadline + countMs) {
    const quietSince = Math.max(lastCrashAt() ?? sinceMs, sinceMs);
    if (performance.now() - quietSince > neededMs) return;
    await delay(POLL_MS);
  }
};

const crashInNumbers = async (site: CrashSite, random: () => number): Promise<void> => {
  for (let n = 0; n < MASS_CRASHES; n += 1) {
    const first = Math.floor(random() * SERVERS);
    site.killServers(Array.from({ length: MASS_CRASH_SERVERS }, (_, at) => (first + at) % SERVERS));
    await delay(MASS_CRASH_EVERY_MS);
  }
};

/** Plays a scenario; resolves to its figures. */
export const playScenario = async (
  scenario: Scenario,
  { seed, block, countMs }: PlayOptions,
): Promise<CaseFigures> => {
  const random = createSeededRandom(seed);
  const prompts = createPromptSource(createSeededRandom(seed + 1), {
    crashParts: scenario.crashParts ?? 1,
    isFirst: scenario.isFirstPart ?? false,
    isMixed: scenario.isMixed ?? false,
  });
  const callers = createPromptCallers();
  const arrivals: { part: string; at: number }[] = [];
  const crashes: { part: string | undefined; at: number }[] = [];
  const kills = new Set(scenario.killEntriesAtCrashes);
  const restarts: Promise<void>[] = [];
  const timers: NodeJS.Timeout[] = [];

  const partOf = (id: string): string =>
    callers.calls
      .find((call) => call.id === id)
      ?.request.parts.find((part) => prompts.crashParts.includes(part)) ?? '';

  const site = await startSite({
    ...{ block, entries: ENTRIES, servers: SERVERS, crashParts: prompts.crashParts },
    isGroup: scenario.isGroup ?? false,
    isEntryCutOff: scenario.isEntryCutOff ?? false,
    variantOf: () => ({
      crashPoint: CRASH_POINTS[Math.floor(random() * CRASH_POINTS.length)] ?? 'nothing',
      isFramed: random() < 0.5,
    }),
    onArrival: (id) => arrivals.push({ part: partOf(id), at: performance.now() }),
    onCrash: () => {
      crashes.push({ part: arrivals.at(-1)?.part, at: performance.now() });
      if (scenario.isStoreAway) site.store.setMode('silent');
      if (kills.delete(crashes.length)) restarts.push(site.killEntries());
    },
  });
  const sendTo = (draw: typeof prompts.drawSound): void => {
    const entryIp = site.entryIps[Math.floor(random() * ENTRIES)];
    if (entryIp !== undefined) callers.send(entryIp, draw());
  };

  try {
    await delay(SETTLE_MS);
    timers.push(setInterval(() => sendTo(prompts.drawSound), MS_PER_S / SOUND_PER_S));
    await delay(BEFORE_MS);
    const beginsAt = performance.now();
    if (scenario.isMassCrash) {
      await crashInNumbers(site, random);
      await delay(countMs);
    } else {
      const perSecond = HARMFUL_PER_S.least + random() * HARMFUL_PER_S.spread;
      timers.push(setInterval(() => sendTo(prompts.drawHarmful), MS_PER_S / perSecond));
      await countInCalm(() => lastBoundCrashAt({ crashes }), beginsAt, countMs);
    }
    const endsAt = performance.now();
    timers.forEach(clearInterval);
    await callers.close();
    const isCompanion = ({ request }: (typeof callers.calls)[number]): boolean =>
      prompts.isCompanion(request);
    const refusals = site.lines
      .filter(({ event }) => event === 'part-quarantined')
      .map(({ entry, at, fields }) => ({ entry, part: String(fields.parts), at }));
    const times = { beginsAt, endsAt };
    const seen = { calls: callers.calls, arrivals, crashes, refusals };
    return computeFigures({ ...seen, ...times, isCompanion }, ENTRIES);
  } finally {
    timers.forEach(clearInterval);
    await Promise.all(restarts);
    await site.close();
  }
};
