/** What routing costs an entry: the subset when the list changes, and each choice. */

import { systemClock } from '@plantaindrum/common';
import type { Random } from '@plantaindrum/common';
import { createRouter } from '@plantaindrum/requests';
import { fitLine } from './fit.js';
import type { Line } from './fit.js';
import { atSizes, cpuMicros, microsPerCall } from './measure.js';

const CHOICES_TIMED = 2_000;
const MICROS_PER_MS = 1_000;
const ENTRIES_PER_UPSTREAM_VM = 430 / 12_000;
const DATA_CENTRES = 25;
const REGIONS = 7;
const MODELS = 22;

const placeOf = (index: number) => {
  const dataCentre = index % DATA_CENTRES;
  return { dataCentre: `data-centre-${dataCentre}`, region: `region-${dataCentre % REGIONS}` };
};

const measure = async (upstreamCount: number, random: Random) => {
  const entryCount = Math.max(2, Math.round(upstreamCount * ENTRIES_PER_UPSTREAM_VM));
  const entries = Array.from({ length: entryCount }, (_, index) => ({
    id: `entry-${index}`,
    ...placeOf(index),
  }));
  const upstreams = Array.from({ length: upstreamCount }, (_, index) => ({
    id: `upstream-${index}`,
    target: `model-${index % MODELS}`,
    ...placeOf(Math.floor(index / MODELS)),
  }));
  const self = entries[0] ?? { id: 'entry-0', ...placeOf(0) };
  const router = createRouter({ clock: systemClock, random, self });
  router.setEntries(entries);
  const before = cpuMicros();
  router.setUpstreams(upstreams);
  const links = Array.from(
    { length: MODELS },
    (_, index) => router.subset(`model-${index}`).length,
  );
  const subsetMs = (cpuMicros() - before) / MICROS_PER_MS;
  const chooseMicros = microsPerCall(CHOICES_TIMED, (index) => {
    const route = router.choose({ target: `model-${index % MODELS}`, prefix: `p${index % 64}` });
    if (route.upstream !== undefined) router.recordDispatch(route.upstream).ended();
  });
  const linkCount = links.reduce((sum, count) => sum + count, 0);
  return { subsetMs, chooseMicros, linkCount };
};

/** Lines over upstreams in the list, with entries, data centres and models in proportion. */
export const routingLines = async (
  upstreamCounts: number[],
  random: Random,
): Promise<Record<string, Line>> => {
  const found = await atSizes(upstreamCounts, (n) => measure(n, random));
  const line = (unit: string, key: 'subsetMs' | 'chooseMicros' | 'linkCount'): Line =>
    fitLine(
      'upstreams in the list',
      unit,
      found.map((point) => ({ n: point.n, y: point[key] })),
    );
  return {
    'subset-cpu': line('ms of processor time each time the list changes', 'subsetMs'),
    'subset-links': line('links that one entry keeps', 'linkCount'),
    'choose-cpu': line('us a request', 'chooseMicros'),
  };
};
