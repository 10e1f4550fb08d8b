import { createDecayedSums } from '@plantaindrum/admission';
import type { Clock, Random } from '@plantaindrum/common';
import { createDrainMeter } from './drain-meter.js';
import { createFirstByteMeter } from './first-byte-meter.js';
import { createRankedQueue } from './ranked-queue.js';
import { createShareMeter } from './share-meter.js';
import type { AgentQueue, Offer, QueueItem, Rejected } from './types.js';

/** Settings of an admission queue. */
export interface AgentQueueOptions {
  clock: Clock;
  random: Random;
  /** Largest number of waiting items. */
  capacity: number;
  /** Largest number of running items. */
  concurrency: number;
  /**
   * During an overload, an organisation is over its share above this multiple of the mean usage.
   */
  shareSlack?: number;
}

/** A waiting item is rejected when its expected wait exceeds the remaining time by this factor. */
const SWEEP_TOLERANCE = 1.25;
/** Random addition to the advised retry delay, as a fraction of it, so that callers spread out. */
const RETRY_JITTER = 0.25;
/** Time constant of the rate of more urgent work, in milliseconds. */
const RATE_TIME_CONSTANT_MS = 3_000;
/** Smallest fraction of the drain rate that less urgent work is assumed to get. */
const MIN_DRAIN_SHARE = 0.02;
const DEFAULT_SHARE_SLACK = 1.25;
/** Largest fraction of an item's remaining time that is reserved for its time to first byte. */
const MAX_RESERVED_SHARE = 0.5;
/** Advised retry delay before anything has been measured, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Longest advised retry delay, in milliseconds; a stuck upstream may have recovered by then. */
const MAX_RETRY_AFTER_MS = 30_000;

/** Creates the admission queue of one upstream. */
export const createAgentQueue = <T extends QueueItem>(
  options: AgentQueueOptions,
): AgentQueue<T> => {
  const { clock, random, capacity, concurrency } = options;
  const shareMeter = createShareMeter(clock, options.shareSlack ?? DEFAULT_SHARE_SLACK);
  const rankedQueue = createRankedQueue<T>(shareMeter.isOverShare);
  const servedByRank = createDecayedSums(clock, RATE_TIME_CONSTANT_MS);
  const waiting = new Map<string, { item: T; startBy: number }>();
  const drainMeter = createDrainMeter(clock, concurrency);
  const firstByteMeter = createFirstByteMeter(clock);
  /** Items that `take` found past their latest start; the next sweep returns them as rejected. */
  let expired: T[] = [];
  let leaving = false;

  /** Cost per second of work that is more urgent than a rank. */
  const urgentCostPerSecond = (rank: number): number => {
    let urgentCost = 0;
    for (let above = 0; above < rank; above += 1) urgentCost += servedByRank.rateOf(String(above));
    return 1000 * urgentCost;
  };

  /** Expected wait behind work of the given cost, at the measured drain rate, in milliseconds. */
  const expectedWaitBehind = (costAhead: number, rank: number): number => {
    const rate = drainMeter.rate();
    if (rate.cost <= 0) return 0;
    if (costAhead === 0 && drainMeter.running() < concurrency) return 0;
    // Cost per second that is left for this rank. More urgent work that arrives later is also
    // served first; without counting it, the least urgent work would be admitted, wait for most of
    // its time and then be rejected.
    const availableCost = rate.cost - urgentCostPerSecond(rank);
    return (
      (1000 * costAhead) / Math.max(availableCost, MIN_DRAIN_SHARE * rate.cost) +
      1000 / rate.requests
    );
  };

  const expectedWait = (item: QueueItem): number =>
    expectedWaitBehind(rankedQueue.costAhead(item), rankedQueue.rankOf(item));

  const addJitter = (ms: number): number => Math.ceil(ms * (1 + random() * RETRY_JITTER));

  /** Time until the queue is short enough for a call like this one to meet its target. */
  const retryAfter = (waitMs: number, budgetMs: number): number => {
    if (waitMs <= 0) return addJitter(DEFAULT_RETRY_AFTER_MS);
    return addJitter(Math.min(Math.max(waitMs - budgetMs, 1), MAX_RETRY_AFTER_MS));
  };

  const reject = (item: T, reason: Rejected<T>['reason'], waitMs: number): Rejected<T> => {
    const remainingMs = Math.max(0, item.deadline - clock.monotonic());
    if (reason !== 'leaving') shareMeter.recordRefusal();
    return { item, reason, retryAfterMs: retryAfter(waitMs, remainingMs) };
  };

  /**
   * Monotonic time by which an item must start for its first byte to arrive before the deadline.
   * The reserved time is bounded, so that work is admitted even when the upstream alone takes
   * longer than the target: otherwise nothing would start, and the measured time could never
   * decrease.
   */
  const latestStart = (item: T): number => {
    const remainingMs = item.deadline - clock.monotonic();
    return (
      item.deadline -
      Math.min(firstByteMeter.expectedMs(item.class), remainingMs * MAX_RESERVED_SHARE)
    );
  };

  const removeWaiting = (item: T) => {
    waiting.delete(item.id);
    rankedQueue.remove(item);
  };

  const add = (item: T) => {
    waiting.set(item.id, { item, startBy: latestStart(item) });
    rankedQueue.push(item);
  };

  /**
   * Selects the item to displace for a new one, from the largest backlog at the least urgent rank.
   * At the same rank this backlog must be larger than that of the new item's organisation would be,
   * so that an organisation that floods the queue displaces only its own work.
   */
  const selectVictim = (item: T): T | undefined => {
    const leastUrgent = rankedQueue.leastUrgent();
    if (!leastUrgent) return undefined;
    const rank = rankedQueue.rankOf(item);
    if (leastUrgent.rank > rank) return leastUrgent.last;
    const ownBacklog = rankedQueue.backlogOf(item) + item.cost;
    return leastUrgent.rank === rank && leastUrgent.cost > ownBacklog
      ? leastUrgent.last
      : undefined;
  };

  const offerWhenFull = (item: T): Offer<T> => {
    const victim = selectVictim(item);
    if (!victim) {
      return { admitted: false, rejected: [reject(item, 'queue-full', expectedWait(item))] };
    }
    const waitMs = expectedWait(victim);
    removeWaiting(victim);
    add(item);
    return { admitted: true, rejected: [reject(victim, 'displaced', waitMs)] };
  };

  /** Reason to reject a waiting item, if there is one. */
  const rejectionReason = (item: T, waitMs: number): Rejected<T>['reason'] | undefined => {
    const remainingMs = waiting.get(item.id)!.startBy - clock.monotonic();
    if (remainingMs <= 0) return 'deadline-passed';
    return waitMs > remainingMs * SWEEP_TOLERANCE ? 'deadline-unreachable' : undefined;
  };

  const rejectUnreachable = (): Rejected<T>[] => {
    const rejected: Rejected<T>[] = [];
    rankedQueue.visitAll((item, rank, costAhead) => {
      const waitMs = expectedWaitBehind(costAhead, rank);
      const reason = rejectionReason(item, waitMs);
      if (reason) rejected.push(reject(item, reason, waitMs));
      return !reason;
    });
    rejected.forEach(({ item }) => removeWaiting(item));
    return rejected;
  };

  const rejectExpired = (): Rejected<T>[] => {
    const rejected = expired.map((item) => reject(item, 'deadline-passed', expectedWait(item)));
    expired = [];
    return rejected;
  };

  const takeNext = (): T | undefined => {
    const item = rankedQueue.pop();
    if (!item) return undefined;
    const { startBy } = waiting.get(item.id)!;
    waiting.delete(item.id);
    if (startBy > clock.monotonic()) return item;
    expired.push(item);
    return takeNext();
  };

  const start = (item: T) => {
    servedByRank.add(String(rankedQueue.rankOf(item)), item.cost);
    shareMeter.recordServed(item.organisation, item.cost);
    drainMeter.recordStart(item.id, item.cost);
    firstByteMeter.recordStart(item.id, item.class);
  };

  return {
    offer: (item) => {
      if (leaving) return { admitted: false, rejected: [reject(item, 'leaving', 0)] };
      const remainingMs = latestStart(item) - clock.monotonic();
      const waitMs = expectedWait(item);
      if (remainingMs <= 0) {
        return { admitted: false, rejected: [reject(item, 'deadline-passed', waitMs)] };
      }
      if (waitMs > remainingMs) {
        return { admitted: false, rejected: [reject(item, 'deadline-unreachable', waitMs)] };
      }
      if (waiting.size >= capacity) return offerWhenFull(item);
      add(item);
      return { admitted: true, rejected: [] };
    },
    take: () => {
      const item = takeNext();
      if (item) start(item);
      return item;
    },
    cancel: (id) => {
      const item = waiting.get(id)?.item;
      if (item) removeWaiting(item);
      return item;
    },
    recordFirstByte: (id) => firstByteMeter.recordFirstByte(id),
    recordEnd: (id) => {
      firstByteMeter.forget(id);
      drainMeter.recordEnd(id, waiting.size > 0);
    },
    sweep: () => [...rejectExpired(), ...rejectUnreachable()],
    shutDown: () => {
      leaving = true;
      const rejected = [...waiting.values()].map(({ item }) => reject(item, 'leaving', 0));
      rejected.forEach(({ item }) => removeWaiting(item));
      return [...rejectExpired(), ...rejected];
    },
    load: () => {
      const rate = drainMeter.rate();
      return {
        queued: waiting.size,
        running: drainMeter.running(),
        queuedCost: rankedQueue.cost(),
        drainPerSecond: rate.requests,
        drainCostPerSecond: rate.cost,
        leaving,
      };
    },
  };
};
