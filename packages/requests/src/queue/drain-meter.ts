import type { Clock } from '@plantaindrum/common';
import { createDecayedSums } from './decayed-sums.js';

/** Measures how fast an upstream works off its queue. */
export interface DrainMeter {
  started(id: string, cost: number): void;
  /** `backlogged`: others were waiting while this one ran, so the upstream had all it can take. */
  finished(id: string, backlogged: boolean): void;
  running(): number;
  /** Requests and cost served a second; both 0 before the first end. */
  rate(): { requests: number; cost: number };
}

/** Weight of the newest sample in the smoothed service time and cost. */
const SMOOTHING = 0.05;
/** Time over which the throughput is measured, in milliseconds. */
const THROUGHPUT_LIFE_MS = 3_000;
/** A throughput whose last sample is older than this says nothing about now, in milliseconds. */
const FRESH_MS = 10_000;

const smooth = (old: number | undefined, sample: number): number =>
  old === undefined ? sample : old + SMOOTHING * (sample - old);

/**
 * Creates a meter. While work waits, the rate is the measured throughput: what ended over the time
 * that passed, both fading alike. The mean of the gaps between ends would swing with engines whose
 * requests end in bursts, and let work in that the next sweep gives up. Without a backlog the ends
 * only show how much arrives, so the rate is then the number of slots over the service time.
 */
export const createDrainMeter = (clock: Clock, concurrency: number): DrainMeter => {
  const active = new Map<string, { cost: number; at: number }>();
  const throughput = createDecayedSums(clock, THROUGHPUT_LIFE_MS);
  let meanCost: number | undefined;
  let serviceMs: number | undefined;
  let lastBackloggedEnd: number | undefined;
  let samples = 0;

  const sampleThroughput = (now: number, cost: number, backlogged: boolean) => {
    if (!backlogged) {
      lastBackloggedEnd = undefined;
      return;
    }
    if (lastBackloggedEnd !== undefined) {
      samples += 1;
      throughput.add('ms', now - lastBackloggedEnd);
      throughput.add('requests', 1);
      throughput.add('cost', cost);
    }
    lastBackloggedEnd = now;
  };

  const isFresh = () =>
    samples >= concurrency &&
    lastBackloggedEnd !== undefined &&
    clock.monotonic() - lastBackloggedEnd < FRESH_MS;

  const measured = (): { requests: number; cost: number } => {
    const perSecond = 1000 / Math.max(throughput.of('ms'), 0.01);
    return {
      requests: throughput.of('requests') * perSecond,
      cost: throughput.of('cost') * perSecond,
    };
  };

  const bySlots = (): { requests: number; cost: number } => {
    if (serviceMs === undefined) return { requests: 0, cost: 0 };
    const requests = (1000 * concurrency) / Math.max(serviceMs, 0.01);
    return { requests, cost: requests * (meanCost ?? 0) };
  };

  return {
    started: (id, cost) => {
      active.set(id, { cost, at: clock.monotonic() });
    },
    finished: (id, backlogged) => {
      const run = active.get(id);
      if (!run) return;
      active.delete(id);
      const now = clock.monotonic();
      meanCost = smooth(meanCost, run.cost);
      serviceMs = smooth(serviceMs, now - run.at);
      sampleThroughput(now, run.cost, backlogged);
    },
    running: () => active.size,
    rate: () => (isFresh() ? measured() : bySlots()),
  };
};
