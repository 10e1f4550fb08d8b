import type { Clock } from '@plantaindrum/common';
import { createDecayedSums } from '@plantaindrum/admission';

/** Measures the drain rate of an upstream. */
export interface DrainMeter {
  recordStart(id: string, cost: number): void;
  /** `backlogged`: other requests were waiting, so the upstream was fully used. */
  recordEnd(id: string, backlogged: boolean): void;
  running(): number;
  /** Requests and cost per second; both 0 before the first request has ended. */
  rate(): { requests: number; cost: number };
}

/** Weight of the latest sample in the moving averages of service time and cost. */
const SMOOTHING = 0.05;
/** Time constant of the measured throughput, in milliseconds. */
const THROUGHPUT_TIME_CONSTANT_MS = 3_000;

/** An upstream is stuck when nothing ends for this multiple of the time to serve all slots once. */
const STUCK_ROUNDS = 2;

/** Requests and cost per second. */
interface Rate {
  requests: number;
  cost: number;
}

const smooth = (old: number | undefined, sample: number): number =>
  old === undefined ? sample : old + SMOOTHING * (sample - old);

/**
 * Creates a meter. With a backlog, the rate is the measured throughput: ended requests divided by
 * elapsed time, both with the same decay. The mean gap between ends would swing with engines whose
 * requests end in bursts, and admit work that the next sweep rejects. Without a backlog, the ends
 * only show the arrival rate, so the rate is the number of slots divided by the service time.
 */
export const createDrainMeter = (clock: Clock, concurrency: number): DrainMeter => {
  const active = new Map<string, { cost: number; startedAt: number }>();
  const throughput = createDecayedSums(clock, THROUGHPUT_TIME_CONSTANT_MS);
  let meanCost: number | undefined;
  let serviceMs: number | undefined;
  let lastBackloggedEndAt: number | undefined;

  const sampleThroughput = (now: number, cost: number, backlogged: boolean) => {
    if (!backlogged) {
      lastBackloggedEndAt = undefined;
      return;
    }
    if (lastBackloggedEndAt !== undefined) {
      throughput.add('ms', now - lastBackloggedEndAt);
      throughput.add('requests', 1);
      throughput.add('cost', cost);
    }
    lastBackloggedEndAt = now;
  };

  const measuredRate = (): Rate => {
    const perSecond = 1000 / Math.max(throughput.sumOf('ms'), 0.01);
    return {
      requests: throughput.sumOf('requests') * perSecond,
      cost: throughput.sumOf('cost') * perSecond,
    };
  };

  const rateFromSlots = (): Rate => {
    if (serviceMs === undefined) return { requests: 0, cost: 0 };
    const requests = (1000 * concurrency) / Math.max(serviceMs, 0.01);
    return { requests, cost: requests * (meanCost ?? 0) };
  };

  /** Reduces a rate when nothing has ended for so long that the upstream must be stuck. */
  const reduceIfStuck = (rate: Rate, sinceLastEndMs: number): Rate => {
    const roundMs = (1000 * concurrency) / rate.requests;
    if (rate.requests <= 0 || sinceLastEndMs <= STUCK_ROUNDS * roundMs) return rate;
    const factor = roundMs / sinceLastEndMs;
    return { requests: rate.requests * factor, cost: rate.cost * factor };
  };

  return {
    recordStart: (id, cost) => {
      active.set(id, { cost, startedAt: clock.monotonic() });
    },
    recordEnd: (id, backlogged) => {
      const request = active.get(id);
      if (!request) return;
      active.delete(id);
      const now = clock.monotonic();
      meanCost = smooth(meanCost, request.cost);
      serviceMs = smooth(serviceMs, now - request.startedAt);
      sampleThroughput(now, request.cost, backlogged);
    },
    running: () => active.size,
    rate: () => {
      if (lastBackloggedEndAt === undefined) return rateFromSlots();
      const isMeasured = throughput.sumOf('requests') >= concurrency;
      const sinceLastEndMs = clock.monotonic() - lastBackloggedEndAt;
      return reduceIfStuck(isMeasured ? measuredRate() : rateFromSlots(), sinceLastEndMs);
    },
  };
};
