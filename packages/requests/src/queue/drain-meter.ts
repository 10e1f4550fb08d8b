import type { Clock } from '@plantaindrum/common';

/** Measures how fast an upstream works off its queue. */
export interface DrainMeter {
  started(id: string, cost: number): void;
  /** `backlogged`: others were waiting while this one ran, so the upstream had all it can take. */
  finished(id: string, backlogged: boolean): void;
  running(): number;
  /** Requests and cost served a second; both 0 before the first end. */
  rate(): { requests: number; cost: number };
}

/** Weight of the newest sample in the smoothed figures. */
const SMOOTHING = 0.05;
/** A throughput measured longer ago than this says nothing about now, in milliseconds. */
const THROUGHPUT_LIFE_MS = 10_000;

const smooth = (old: number | undefined, sample: number): number =>
  old === undefined ? sample : old + SMOOTHING * (sample - old);

/**
 * Creates a meter. While work waits, the rate is the measured throughput. Without a backlog the
 * ends only show how much arrives, so the rate is then the number of slots over the service time.
 */
export const createDrainMeter = (clock: Clock, concurrency: number): DrainMeter => {
  const active = new Map<string, { cost: number; at: number }>();
  let meanCost: number | undefined;
  let serviceMs: number | undefined;
  let intervalMs: number | undefined;
  let lastBackloggedEnd: number | undefined;
  let intervalSamples = 0;

  const sampleInterval = (now: number, backlogged: boolean) => {
    if (!backlogged) {
      lastBackloggedEnd = undefined;
      return;
    }
    if (lastBackloggedEnd !== undefined) {
      intervalMs = smooth(intervalMs, now - lastBackloggedEnd);
      intervalSamples += 1;
    }
    lastBackloggedEnd = now;
  };

  const throughputIsFresh = () =>
    intervalSamples >= concurrency &&
    lastBackloggedEnd !== undefined &&
    clock.monotonic() - lastBackloggedEnd < THROUGHPUT_LIFE_MS;

  const requestsPerSecond = (): number => {
    if (intervalMs !== undefined && throughputIsFresh()) return 1000 / Math.max(intervalMs, 0.01);
    if (serviceMs === undefined) return 0;
    return (1000 * concurrency) / Math.max(serviceMs, 0.01);
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
      sampleInterval(now, backlogged);
    },
    running: () => active.size,
    rate: () => {
      const requests = requestsPerSecond();
      return { requests, cost: requests * (meanCost ?? 0) };
    },
  };
};
