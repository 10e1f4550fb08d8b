import type { Clock, Random } from '@plantaindrum/common';
import type { Lane } from '../outcomes.js';
import { LANES } from '../outcomes.js';
import { createDrainMeter } from './drain-meter.js';
import type { FairGroup } from './fair-group.js';
import { createLane } from './lane.js';
import type { LaneQueue } from './lane.js';
import type { AgentQueue, Offer, QueueItem, Rejected } from './types.js';

/** Settings of the queue before one upstream. */
export interface AgentQueueOptions {
  clock: Clock;
  random: Random;
  /** Most items that wait. */
  capacity: number;
  /** Most items that run at once. */
  concurrency: number;
  /** Over what organisations share fairly: each class by itself, or a whole lane. */
  fairWithin?: 'class' | 'lane';
}

/** Waiting work is given up once its expected wait exceeds what is left by this factor. */
const SWEEP_TOLERANCE = 1.25;
/** Refused callers come back spread over this share of the advised time. */
const RETRY_SPREAD = 0.25;
/** Advised when nothing has been measured yet, in milliseconds. */
const DEFAULT_RETRY_MS = 1_000;

/** Creates the queue before one upstream. */
export const createAgentQueue = <T extends QueueItem>(
  options: AgentQueueOptions,
): AgentQueue<T> => {
  const { clock, random, capacity, concurrency } = options;
  const fairWithin = options.fairWithin ?? 'lane';
  const waiting = new Map<string, T>();
  const lanes = new Map<Lane, LaneQueue<T>>(LANES.map((lane) => [lane, createLane<T>(fairWithin)]));
  const meter = createDrainMeter(clock, concurrency);
  /** Found too late by `take`; the next sweep hands them out. */
  let expired: T[] = [];
  let leaving = false;

  const laneOf = (item: QueueItem) => lanes.get(item.lane)!;

  const totalCost = () => [...lanes.values()].reduce((sum, lane) => sum + lane.cost(), 0);

  const moreUrgentCost = (lane: Lane): number =>
    LANES.slice(0, LANES.indexOf(lane)).reduce((sum, name) => sum + lanes.get(name)!.cost(), 0);

  /** Expected wait of an item before it can start, in milliseconds, at the measured drain rate. */
  const expectedWait = (item: QueueItem): number => {
    const rate = meter.rate();
    if (rate.cost <= 0) return 0;
    const ahead = moreUrgentCost(item.lane) + laneOf(item).costAhead(item);
    const isFree = ahead === 0 && meter.running() < concurrency;
    return isFree ? 0 : (1000 * ahead) / rate.cost + 1000 / rate.requests;
  };

  const spread = (ms: number): number => Math.ceil(ms * (1 + random() * RETRY_SPREAD));

  /** Time until the queue has drained so far that a call like this one can meet its target. */
  const retryAfter = (waitMs: number, budgetMs: number): number =>
    waitMs > 0 ? spread(Math.max(waitMs - budgetMs, 1)) : spread(DEFAULT_RETRY_MS);

  const reject = (item: T, reason: Rejected<T>['reason'], waitMs: number): Rejected<T> => {
    const left = Math.max(0, item.deadline - clock.monotonic());
    return { item, reason, retryAfterMs: retryAfter(waitMs, left) };
  };

  const forget = (item: T) => {
    waiting.delete(item.id);
    laneOf(item).remove(item);
  };

  const add = (item: T) => {
    waiting.set(item.id, item);
    laneOf(item).push(item);
  };

  const heaviestOfLeastUrgent = (): ReturnType<FairGroup<T>['heaviest']> => {
    const lane = [...LANES].reverse().find((name) => lanes.get(name)!.cost() > 0);
    return lane && lanes.get(lane)!.heaviest();
  };

  /**
   * The item that makes room for a new one: the least urgent of the organisation that holds most
   * of the least urgent lane. Within a lane only an organisation that holds more than the newcomer's
   * would hold gives way, so that a flood costs its sender and nobody else.
   */
  const victimFor = (item: T): T | undefined => {
    const heaviest = heaviestOfLeastUrgent();
    if (!heaviest) return undefined;
    const isLessUrgent = LANES.indexOf(heaviest.last.lane) > LANES.indexOf(item.lane);
    if (isLessUrgent) return heaviest.last;
    if (heaviest.last.lane !== item.lane) return undefined;
    const own = laneOf(item).backlogOf(item.organisation) + item.cost;
    return heaviest.cost > own ? heaviest.last : undefined;
  };

  const offerToFull = (item: T): Offer<T> => {
    const victim = victimFor(item);
    if (!victim) {
      return { admitted: false, rejected: [reject(item, 'queue-full', expectedWait(item))] };
    }
    const waitMs = expectedWait(victim);
    forget(victim);
    add(item);
    return { admitted: true, rejected: [reject(victim, 'displaced', waitMs)] };
  };

  /** The reason to give up an item that waits, if there is one. */
  const hopeless = (item: T, now: number): Rejected<T> | undefined => {
    if (item.deadline <= now) return reject(item, 'deadline-passed', expectedWait(item));
    const waitMs = expectedWait(item);
    if (waitMs <= (item.deadline - now) * SWEEP_TOLERANCE) return undefined;
    return reject(item, 'deadline-unreachable', waitMs);
  };

  const takeExpired = (): Rejected<T>[] => {
    const given = expired.map((item) => reject(item, 'deadline-passed', expectedWait(item)));
    expired = [];
    return given;
  };

  const popMostUrgent = (): T | undefined => {
    const lane = LANES.map((name) => lanes.get(name)!).find((queue) => queue.cost() > 0);
    const item = lane?.pop();
    if (item) waiting.delete(item.id);
    return item;
  };

  return {
    offer: (item) => {
      if (leaving) return { admitted: false, rejected: [reject(item, 'leaving', 0)] };
      const left = item.deadline - clock.monotonic();
      const waitMs = expectedWait(item);
      if (left <= 0) {
        return { admitted: false, rejected: [reject(item, 'deadline-passed', waitMs)] };
      }
      if (waitMs > left) {
        return { admitted: false, rejected: [reject(item, 'deadline-unreachable', waitMs)] };
      }
      if (waiting.size >= capacity) return offerToFull(item);
      add(item);
      return { admitted: true, rejected: [] };
    },
    take: () => {
      const now = clock.monotonic();
      for (let item = popMostUrgent(); item; item = popMostUrgent()) {
        if (item.deadline > now) {
          meter.started(item.id, item.cost);
          return item;
        }
        expired.push(item);
      }
      return undefined;
    },
    cancel: (id) => {
      const item = waiting.get(id);
      if (item) forget(item);
      return item;
    },
    finished: (id) => meter.finished(id, waiting.size > 0),
    sweep: () => {
      const now = clock.monotonic();
      const given = takeExpired();
      for (const item of [...waiting.values()]) {
        const rejected = hopeless(item, now);
        if (rejected) {
          forget(item);
          given.push(rejected);
        }
      }
      return given;
    },
    leave: () => {
      leaving = true;
      const given = [...waiting.values()].map((item) => reject(item, 'leaving', 0));
      given.forEach(({ item }) => forget(item));
      return [...takeExpired(), ...given];
    },
    load: () => {
      const rate = meter.rate();
      return {
        queued: waiting.size,
        running: meter.running(),
        queuedCost: totalCost(),
        drainPerSecond: rate.requests,
        drainCostPerSecond: rate.cost,
        leaving,
      };
    },
  };
};
