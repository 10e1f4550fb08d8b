/** What a request costs in an agent's queue, by depth and by organisations that wait. */

import { systemClock } from '@plantaindrum/common';
import type { Random } from '@plantaindrum/common';
import { createAgentQueue } from '@plantaindrum/requests';
import type { QueueItem } from '@plantaindrum/requests';
import { fitLine } from './fit.js';
import type { Line } from './fit.js';
import { atSizes, bytesInUse, microsPerCall } from './measure.js';

const REQUESTS_TIMED = 2_000;
const CONCURRENCY = 32;
const FAR_DEADLINE_MS = 3_600_000;
const QUEUES_WEIGHED = 20;

const itemOf = (index: number, organisations: number, random: Random): QueueItem => ({
  id: `kent-e1:${index}`,
  organisation: `organisation-${index % organisations}`,
  class: 'summaries',
  lane: 'normal',
  cost: 1 + Math.floor(random() * 200),
  deadline: systemClock.monotonic() + FAR_DEADLINE_MS + random() * 1_000,
});

const filledQueue = (depth: number, organisations: number, random: Random) => {
  const queue = createAgentQueue<QueueItem>({
    clock: systemClock,
    random,
    capacity: depth + CONCURRENCY,
    concurrency: CONCURRENCY,
  });
  for (let index = 0; index < depth; index += 1) queue.offer(itemOf(index, organisations, random));
  return queue;
};

const measure = async (depth: number, organisations: number, random: Random) => {
  const before = await bytesInUse();
  const queues = Array.from({ length: QUEUES_WEIGHED }, () =>
    filledQueue(depth, organisations, random),
  );
  const memoryBytes = ((await bytesInUse()) - before) / queues.length;
  const queue = filledQueue(depth, organisations, random);
  const micros = microsPerCall(REQUESTS_TIMED, (index) => {
    queue.offer(itemOf(depth + index, organisations, random));
    const item = queue.take();
    if (item) queue.recordEnd(item.id);
    queue.load();
  });
  return { micros, memoryBytes };
};

/** Lines over the depth at ten organisations, and over organisations at a depth of 1,024. */
export const queueLines = async (
  depths: number[],
  organisationCounts: number[],
  random: Random,
): Promise<Record<string, Line>> => {
  const byDepth = await atSizes(depths, (n) => measure(n, 10, random));
  const byOrganisations = await atSizes(organisationCounts, (n) => measure(1_024, n, random));
  return {
    'queue-cpu-by-depth': fitLine(
      'requests waiting',
      'us a request',
      byDepth.map(({ n, micros }) => ({ n, y: micros })),
    ),
    'queue-memory': fitLine(
      'requests waiting',
      'bytes',
      byDepth.map(({ n, memoryBytes }) => ({ n, y: memoryBytes })),
    ),
    'queue-cpu-by-organisations': fitLine(
      'organisations waiting',
      'us a request',
      byOrganisations.map(({ n, micros }) => ({ n, y: micros })),
    ),
  };
};
