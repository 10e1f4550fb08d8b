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

/** An upstream is stuck when nothing ends in the time that so many rounds of its slots take. */
const STUCK_ROUNDS = 2;

/** Requests and cost a second. */
interface Rate {
  requests: number;
  cost: number;
}

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

  const sampleThroughput = (now: number, cost: number, backlogged: boolean) => {
    if (!backlogged) {
      lastBackloggedEnd = undefined;
      return;
    }
    if (lastBackloggedEnd !== undefined) {
      throughput.add('ms', now - lastBackloggedEnd);
      throughput.add('requests', 1);
      throughput.add('cost', cost);
    }
    lastBackloggedEnd = now;
  };

  const measured = (): Rate => {
    const perSecond = 1000 / Math.max(throughput.of('ms'), 0.01);
    return {
      requests: throughput.of('requests') * perSecond,
      cost: throughput.of('cost') * perSecond,
    };
  };

  const bySlots = (): Rate => {
    if (serviceMs === undefined) return { requests: 0, cost: 0 };
    const requests = (1000 * concurrency) / Math.max(serviceMs, 0.01);
    return { requests, cost: requests * (meanCost ?? 0) };
  };

  /** Lowers a rate when nothing has ended for so long that the upstream must be stuck. */
  const unlessStuck = (rate: Rate, silentMs: number): Rate => {
    const roundMs = (1000 * concurrency) / rate.requests;
    if (rate.requests <= 0 || silentMs <= STUCK_ROUNDS * roundMs) return rate;
    const factor = roundMs / silentMs;
    return { requests: rate.requests * factor, cost: rate.cost * factor };
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
    rate: () => {
      if (lastBackloggedEnd === undefined) return bySlots();
      const isMeasured = throughput.of('requests') >= concurrency;
      const silentMs = clock.monotonic() - lastBackloggedEnd;
      return unlessStuck(isMeasured ? measured() : bySlots(), silentMs);
    },
  };
};
