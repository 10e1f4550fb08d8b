import type { Clock, Random } from '@plantaindrum/common';
import { createDecayedSums } from './decayed-sums.js';
import { createDrainMeter } from './drain-meter.js';
import { createFirstByteMeter } from './first-byte-meter.js';
import { createRankedQueue } from './ranked-queue.js';
import { createShareMeter } from './share-meter.js';
import type { AgentQueue, Offer, QueueItem, Rejected } from './types.js';

/** Settings of the queue before one upstream. */
export interface AgentQueueOptions {
  clock: Clock;
  random: Random;
  /** Most items that wait. */
  capacity: number;
  /** Most items that run at once. */
  concurrency: number;
  /** In an overload an organisation is over its share above this multiple of the mean. */
  shareSlack?: number;
}

/** Waiting work is given up once its expected wait exceeds what is left by this factor. */
const SWEEP_TOLERANCE = 1.25;
/** Refused callers come back spread over this share of the advised time. */
const RETRY_SPREAD = 0.25;
/** Time over which the rate of more urgent work is measured, in milliseconds. */
const RATE_LIFE_MS = 3_000;
/** Less urgent work is taken to get at least this share of the drain rate. */
const LEAST_SHARE = 0.02;
const DEFAULT_SHARE_SLACK = 1.25;
/** At most this share of an item's time is kept back for the upstream's own part. */
const MOST_KEPT_BACK = 0.5;
/** Advised when nothing has been measured yet, in milliseconds. */
const DEFAULT_RETRY_MS = 1_000;
/** Longest advised time, in milliseconds; a stuck upstream may be well again by then. */
const LONGEST_RETRY_MS = 30_000;

/** Creates the queue before one upstream. */
export const createAgentQueue = <T extends QueueItem>(
  options: AgentQueueOptions,
): AgentQueue<T> => {
  const { clock, random, capacity, concurrency } = options;
  const shares = createShareMeter(clock, options.shareSlack ?? DEFAULT_SHARE_SLACK);
  const ranked = createRankedQueue<T>(shares.isOver);
  const servedByRank = createDecayedSums(clock, RATE_LIFE_MS);
  const waiting = new Map<string, { item: T; startBy: number }>();
  const meter = createDrainMeter(clock, concurrency);
  const firstBytes = createFirstByteMeter(clock);
  /** Found too late by `take`; the next sweep hands them out. */
  let expired: T[] = [];
  let leaving = false;

  /** Cost that more urgent work takes a second. */
  const urgentRate = (rank: number): number => {
    let sum = 0;
    for (let above = 0; above < rank; above += 1) sum += servedByRank.rateOf(String(above));
    return 1000 * sum;
  };

  /** Expected wait behind work of a cost, in milliseconds, at the measured drain rate. */
  const expectedWaitBehind = (ahead: number, rank: number): number => {
    const rate = meter.rate();
    if (rate.cost <= 0) return 0;
    if (ahead === 0 && meter.running() < concurrency) return 0;
    // More urgent work that arrives meanwhile goes first too: without it, the least urgent work is
    // let in, waits for most of its time and is given up then.
    const left = rate.cost - urgentRate(rank);
    return (1000 * ahead) / Math.max(left, LEAST_SHARE * rate.cost) + 1000 / rate.requests;
  };

  const expectedWait = (item: QueueItem): number =>
    expectedWaitBehind(ranked.costAhead(item), ranked.rankOf(item));

  const spread = (ms: number): number => Math.ceil(ms * (1 + random() * RETRY_SPREAD));

  /** Time until the queue has drained so far that a call like this one can meet its target. */
  const retryAfter = (waitMs: number, budgetMs: number): number => {
    if (waitMs <= 0) return spread(DEFAULT_RETRY_MS);
    return spread(Math.min(Math.max(waitMs - budgetMs, 1), LONGEST_RETRY_MS));
  };

  const reject = (item: T, reason: Rejected<T>['reason'], waitMs: number): Rejected<T> => {
    const left = Math.max(0, item.deadline - clock.monotonic());
    if (reason !== 'leaving') shares.refused();
    return { item, reason, retryAfterMs: retryAfter(waitMs, left) };
  };

  /**
   * Monotonic time by which an item must start for its first byte to be in time. The bound on what
   * is kept back lets work in even when the upstream alone takes longer than the target: otherwise
   * nothing would ever start, and the measure could never fall again.
   */
  const startByOf = (item: T): number => {
    const left = item.deadline - clock.monotonic();
    return item.deadline - Math.min(firstBytes.expectedMs(item.class), left * MOST_KEPT_BACK);
  };

  const forget = (item: T) => {
    waiting.delete(item.id);
    ranked.remove(item);
  };

  const add = (item: T) => {
    waiting.set(item.id, { item, startBy: startByOf(item) });
    ranked.push(item);
  };

  /**
   * The item that makes room for a new one, from the organisation that holds most of the least
   * urgent work. At the same rank only an organisation that holds more than the newcomer's would
   * hold gives way, so that a flood costs its sender and nobody else.
   */
  const victimFor = (item: T): T | undefined => {
    const least = ranked.leastUrgent();
    if (!least) return undefined;
    const rank = ranked.rankOf(item);
    if (least.rank > rank) return least.last;
    const own = ranked.backlogOf(item) + item.cost;
    return least.rank === rank && least.cost > own ? least.last : undefined;
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
  const hopeless = (item: T, waitMs: number): Rejected<T>['reason'] | undefined => {
    const left = waiting.get(item.id)!.startBy - clock.monotonic();
    if (left <= 0) return 'deadline-passed';
    return waitMs > left * SWEEP_TOLERANCE ? 'deadline-unreachable' : undefined;
  };

  const giveUpHopeless = (): Rejected<T>[] => {
    const given: Rejected<T>[] = [];
    ranked.review((item, rank, ahead) => {
      const waitMs = expectedWaitBehind(ahead, rank);
      const reason = hopeless(item, waitMs);
      if (reason) given.push(reject(item, reason, waitMs));
      return !reason;
    });
    given.forEach(({ item }) => forget(item));
    return given;
  };

  const takeExpired = (): Rejected<T>[] => {
    const given = expired.map((item) => reject(item, 'deadline-passed', expectedWait(item)));
    expired = [];
    return given;
  };

  const takeNext = (): T | undefined => {
    const item = ranked.pop();
    if (!item) return undefined;
    const { startBy } = waiting.get(item.id)!;
    waiting.delete(item.id);
    if (startBy > clock.monotonic()) return item;
    expired.push(item);
    return takeNext();
  };

  const start = (item: T) => {
    servedByRank.add(String(ranked.rankOf(item)), item.cost);
    shares.served(item.organisation, item.cost);
    meter.started(item.id, item.cost);
    firstBytes.started(item.id, item.class);
  };

  return {
    offer: (item) => {
      if (leaving) return { admitted: false, rejected: [reject(item, 'leaving', 0)] };
      const left = startByOf(item) - clock.monotonic();
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
      const item = takeNext();
      if (item) start(item);
      return item;
    },
    cancel: (id) => {
      const item = waiting.get(id)?.item;
      if (item) forget(item);
      return item;
    },
    answering: (id) => firstBytes.firstByte(id),
    finished: (id) => {
      firstBytes.ended(id);
      meter.finished(id, waiting.size > 0);
    },
    sweep: () => [...takeExpired(), ...giveUpHopeless()],
    leave: () => {
      leaving = true;
      const given = [...waiting.values()].map(({ item }) => reject(item, 'leaving', 0));
      given.forEach(({ item }) => forget(item));
      return [...takeExpired(), ...given];
    },
    load: () => {
      const rate = meter.rate();
      return {
        queued: waiting.size,
        running: meter.running(),
        queuedCost: ranked.cost(),
        drainPerSecond: rate.requests,
        drainCostPerSecond: rate.cost,
        leaving,
      };
    },
  };
};
