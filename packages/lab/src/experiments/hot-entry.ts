/**
 * The platform hands most new connections to one entry for some seconds, while callers open new ones for each request:
 * how many requests are served at the first attempt, before and meanwhile.
 */

import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@plantaindrum/common';
import { createPromptCallers } from './crashing-part/callers.js';
import type { PromptCall } from './crashing-part/callers.js';
import { createPromptSource } from './crashing-part/prompts.js';
import { startSite } from './crashing-part/site.js';
import type { ExperimentOptions } from './table.js';

/** Figures of the experiment. */
export interface HotEntryFigures {
  entries: number;
  /** Shares of the requests that are served at the first attempt. */
  servedBefore: number;
  servedDuring: number;
  /** Share of the requests that the one entry got meanwhile. */
  hotShare: number;
}

const ENTRIES = 4;
const SERVERS = 8;
const REQUESTS_PER_S = 80;
const HOT_FRACTION = 0.9;
const SETTLE_MS = 2_000;
const PHASE_MS = { whole: 10_000, quick: 4_000 };
const MS_PER_S = 1_000;
const ADDRESS_BLOCK = 60;

const servedShare = (calls: readonly PromptCall[]): number =>
  calls.filter(({ status, isComplete }) => status === 200 && isComplete).length /
  Math.max(1, calls.length);

/** Runs the experiment. */
export const run = async ({
  seed,
  quick,
  print,
}: ExperimentOptions): Promise<Record<string, unknown>> => {
  const random = createSeededRandom(seed);
  const prompts = createPromptSource(random, { crashParts: 0, isFirst: false, isMixed: true });
  const callers = createPromptCallers();
  const site = await startSite({
    ...{ block: ADDRESS_BLOCK, entries: ENTRIES, servers: SERVERS, crashParts: [] },
    ...{ isGroup: false, isEntryCutOff: false, onArrival: () => {}, onCrash: () => {} },
    variantOf: (n) => ({ crashPoint: 'nothing', isFramed: n % 2 === 0 }),
  });
  const [hotIp = ''] = site.entryIps;
  let hotFraction = 0;
  let hotCalls = 0;
  const sendNext = (): void => {
    const isHot = random() < hotFraction;
    if (isHot) hotCalls += 1;
    const entryIp = isHot ? hotIp : site.entryIps[Math.floor(random() * ENTRIES)];
    const connection = hotFraction > 0 ? 'new' : 'kept';
    if (entryIp !== undefined) callers.send(entryIp, prompts.drawSound(), connection);
  };
  try {
    await delay(SETTLE_MS);
    const timer = setInterval(sendNext, MS_PER_S / REQUESTS_PER_S);
    const phaseMs = quick ? PHASE_MS.quick : PHASE_MS.whole;
    await delay(phaseMs);
    const before = callers.calls.length;
    hotFraction = HOT_FRACTION;
    await delay(phaseMs);
    clearInterval(timer);
    await callers.close();
    const during = callers.calls.slice(before);
    const figures: HotEntryFigures = {
      entries: ENTRIES,
      servedBefore: servedShare(callers.calls.slice(0, before)),
      servedDuring: servedShare(during),
      hotShare: hotCalls / during.length,
    };
    print(
      `served before ${figures.servedBefore.toFixed(3)}, during ${figures.servedDuring.toFixed(3)}`,
    );
    return { ...figures };
  } finally {
    await site.close();
  }
};
