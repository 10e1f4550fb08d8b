/**
 * Data centres are evacuated in turn and their upstreams come back cold, at real entries of the platform: what reaches an
 * evacuated data centre, whether cold upstreams get more than their bound or much less, and what is cut.
 */

import { setTimeout as delay } from 'node:timers/promises';
import { createSeededRandom } from '@plantaindrum/common';
import { maxInWindow } from '@plantaindrum/stand-ins';
import { startEvacuationSite, WARMUP } from './evacuation/site.js';
import type { EvacuationSite, SiteUpstream } from './evacuation/site.js';
import type { ExperimentOptions } from './table.js';

/** Calls a second of all callers, and while the traffic bursts: far more than cold upstreams may get. */
const CALLS_PER_S = 240;
const BURST_PER_S = 440;
/** Time from the request of an evacuation from which nothing new may arrive, in ms; the settings allow 5,000. */
const BOUND_MS = 2_000;
/** A call counts as served in time if its whole answer came within this, in ms. */
const IN_TIME_MS = 1_000;
/** Time after a data centre has been taken back from which its cold upstreams are expected to be used, in ms. */
const COLD_USE_AFTER_MS = 700;
const WINDOW_MS = 1_000;
const STARTUP_MS = 2_500;
/** Length of an evacuation; the next one begins when the upstreams of the last data centre come back cold. */
const EVACUATED_MS = 3_000;
const EVACUATIONS: readonly string[] = ['x', 'y', 'x', 'y'];

const countColdUse = (upstreams: readonly SiteUpstream[], from: number, to: number): number =>
  upstreams.flatMap(({ arrivals }) => arrivals).filter(({ at }) => at >= from && at < to).length;

/** Evacuates the data centres in turn; returns the time spans in which only cold upstreams could be used. */
const evacuateInTurn = async (
  site: EvacuationSite,
): Promise<[from: number, to: number, dataCentre: string][]> => {
  const spans: [number, number, string][] = [];
  let last: string | undefined;
  for (const [n, dataCentre] of EVACUATIONS.entries()) {
    site.evacuate(dataCentre);
    if (last !== undefined) {
      site.takeBack(last);
      const now = performance.now();
      const coldMs = Math.min(EVACUATED_MS, WARMUP.seconds * 1_000);
      spans.push([now + COLD_USE_AFTER_MS, now + coldMs, last]);
    }
    last = dataCentre;
    if (n === 1) void site.killEntry(1);
    if (n === 2) void site.cutEntryFromStore(2, EVACUATED_MS);
    if (n === 2) site.setRate(BURST_PER_S);
    await delay(EVACUATED_MS);
    site.setRate(CALLS_PER_S);
  }
  if (last !== undefined) site.takeBack(last);
  await delay(WARMUP.seconds * 1_000);
  return spans;
};

/** Plays the evacuations. */
export const run = async ({ seed, print }: ExperimentOptions): Promise<Record<string, unknown>> => {
  const site = await startEvacuationSite(createSeededRandom(seed));
  try {
    await delay(STARTUP_MS);
    site.setRate(CALLS_PER_S);
    const spans = await evacuateInTurn(site);
    await site.stopCallers();
    const { upstreams, calls } = site;
    const sentAfterBound = upstreams.flatMap(({ arrivals, evacuated }) =>
      arrivals.filter(({ at }) =>
        evacuated.some(({ from, to }) => at > from + BOUND_MS && at < to),
      ),
    ).length;
    const coldArrivals = upstreams.flatMap(({ arrivals, cold }) =>
      cold.map(({ from, to }) =>
        arrivals.map(({ at }) => at).filter((at) => at >= from && at < to),
      ),
    );
    const maxCold = Math.max(0, ...coldArrivals.map((times) => maxInWindow(times, WINDOW_MS)));
    const coldOverBound = coldArrivals.filter(
      (times) => maxInWindow(times, WINDOW_MS) > WARMUP.maxPerSecond,
    ).length;
    const used = spans.map(([from, to, dataCentre]) => {
      const cold = upstreams.filter((each) => each.dataCentre === dataCentre);
      const tolerated = (cold.length * WARMUP.perSecond * (to - from)) / WINDOW_MS;
      return { sent: countColdUse(cold, from, to), tolerated };
    });
    const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);
    const served = calls.filter(
      ({ status, isWhole, ms }) => status === 200 && isWhole && ms <= IN_TIME_MS,
    );
    const cut = calls.filter(({ status, isWhole }) => status === 200 && !isWhole);
    // The connections of a killed entry break; these calls say nothing about evacuations.
    const cutByEvacuation = cut.filter(
      ({ entry, endedAt }) => !site.wasKilled(entry, endedAt),
    ).length;
    const fractions = used.map(({ sent, tolerated }) => sent / tolerated);
    print(
      `use of cold upstreams, of what they tolerate: ${fractions.map((n) => n.toFixed(2)).join(', ')}`,
    );
    print(`most requests in a second at a cold upstream: ${maxCold} of ${WARMUP.maxPerSecond}`);
    return {
      requests: calls.length,
      evacuations: EVACUATIONS.length,
      coldSends: coldArrivals.flat().length,
      sentAfterBound,
      coldOverBound,
      maxCold,
      coldUse: sum(used.map(({ sent }) => sent)) / sum(used.map(({ tolerated }) => tolerated)),
      // While one of the entries is down: its reserved requests and its fraction of the pool are not used.
      minColdUse: Math.min(...fractions),
      cutByEvacuation,
      servedInTime: served.length / calls.length,
    };
  } finally {
    await site.close();
  }
};
