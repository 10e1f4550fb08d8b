/**
 * Requests that wait for a group of their service to open, and the rate at which they are let in once it has.
 *
 * After a power loss all streams of a service come back within a fifth of a second. Sent at once, ten prompts a rank are
 * read in the first passes, which makes all streams late; refused, they return while the group is still closed. So
 * those wait here that can be served in time after the expected opening, the most urgent and longest waiting first, and
 * the others are told at once when to return. A group that has opened gets about one new stream per rank and pass.
 */

import type { Clock, EventLog, Metrics, Random } from '@plantaindrum/common';
import type { GroupDirectory, RankGroup } from './group-directory.js';
import { createStreamAllowance, isSteady, takeUpRate } from './take-up-rate.js';
import type { StreamAllowance } from './take-up-rate.js';
import { createOpeningEstimate } from './opening-estimate.js';

/** How a wait ended. */
export type TakeUpOutcome =
  | { outcome: 'proceed' }
  /** This request is the one that is sent to a group that isn't known to be open. */
  | { outcome: 'probe' }
  /** It can't be served in time; the caller may return after this time. */
  | { outcome: 'refused'; retryAfterMs: number };

/** A request that waits. */
export interface WaitingRequest {
  /** Latest time at which it is let in (monotonic, ms). */
  until: number;
  /** Latest time at which it is let in to meet its target for the first event (monotonic, ms). */
  onTimeUntil: number;
  /** Its target for the longest pause between two events, in ms. */
  targetPauseMs: number;
  /** When the caller gives up (monotonic, ms). */
  deadlineAt: number;
  /** Order in which requests are let in: lower values first. */
  urgency: number;
  /** The caller has been refused before, and won't come back another time. */
  isReturn: boolean;
  /** The request has been sent to an upstream before, so sending it as a probe would be a retry. */
  wasSent: boolean;
  /** Whether it needn't wait: its caller has disconnected, or its service is refused for another reason now. */
  isGone: () => boolean;
}

/** Waiting requests by service. */
export interface TakeUpQueue {
  wait(service: string, request: WaitingRequest): Promise<TakeUpOutcome>;
  /** Lets in all requests that wait, because another decision is made on them. */
  release(service: string): void;
  /** Number of requests that wait. */
  waiting(service: string): number;
}

/** Options of `createTakeUpQueue`. */
export interface TakeUpQueueOptions {
  groups: GroupDirectory;
  /** Number of entries that may be running, including this one: they share the rate. */
  entries: () => number;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: EventLog;
}

/** Time between two checks of a queue that isn't empty, in ms. */
const CHECK_INTERVAL_MS = 20;
/**
 * Fraction of the rate at which requests that have missed their target are let in while passes are long, or haven't been
 * seen yet. All of them at once, 350 after a loss of power, made all streams late for two seconds.
 */
const LATE_FRACTION = 0.1;
/** A caller is told to return within this fraction of its remaining time. */
const MAX_RETURN_FRACTION = 1 / 3;
/** Earliest return, in ms; and the range over which returns are spread, in ms: a pass of a group. */
const RETURN_DELAY = { minMs: 250, spreadMs: 150 };

interface QueuedRequest extends WaitingRequest {
  queuedAt: number;
  /** Whether it was accepted by an earlier check. */
  hasWaited: boolean;
  resolve: (outcome: TakeUpOutcome) => void;
}

interface ServiceQueue {
  requests: QueuedRequest[];
  allowance: StreamAllowance;
  /** What requests that have missed their target get at least. */
  lateAllowance: StreamAllowance;
  /** Callers that were told to return, by urgency. */
  returning: Map<number, number>;
  stopTimer: (() => void) | undefined;
}

const inOrder = (a: QueuedRequest, b: QueuedRequest): number =>
  a.urgency - b.urgency || Number(b.isReturn) - Number(a.isReturn) || a.queuedAt - b.queuedAt;

const proceed = ({ resolve }: QueuedRequest): void => resolve({ outcome: 'proceed' });

/** Creates the empty queues of one entry. */
export const createTakeUpQueue = (options: TakeUpQueueOptions): TakeUpQueue => {
  const { groups, entries, clock, random, metrics, log } = options;
  const queues = new Map<string, ServiceQueue>();
  const estimate = createOpeningEstimate(clock);

  const openGroups = (service: string): RankGroup[] =>
    groups.groupsOf(service).filter(({ state }) => state.condition() === 'open');
  const isFree = (open: readonly RankGroup[]): boolean =>
    open.some((group) => isSteady(group, clock));
  const rateOf = (each: readonly RankGroup[]): number => takeUpRate(each, entries());

  const queueOf = (service: string): ServiceQueue => {
    const known = queues.get(service);
    if (known) return known;
    const allowance = createStreamAllowance(clock);
    const lateAllowance = createStreamAllowance(clock);
    const created = {
      requests: [],
      allowance,
      lateAllowance,
      returning: new Map(),
      stopTimer: undefined,
    };
    queues.set(service, created);
    return created;
  };

  const countReturning = ({ returning }: ServiceQueue, urgency: number): number =>
    [...returning].reduce((sum, [each, count]) => sum + (each <= urgency ? count : 0), 0);

  const refusal = (service: string, request: WaitingRequest): TakeUpOutcome => {
    const queue = queueOf(service);
    const now = clock.monotonic();
    const { urgency, deadlineAt } = request;
    const place = queue.requests.length + countReturning(queue, urgency);
    const all = groups.groupsOf(service);
    const placeMs = place / Math.max(rateOf(all), Number.MIN_VALUE);
    const openingMs = openGroups(service).length > 0 ? 0 : estimate.remainingMs(all);
    const wantedMs = Math.max(RETURN_DELAY.minMs, openingMs + placeMs);
    const maxMs = Math.max(0, (deadlineAt - now) * MAX_RETURN_FRACTION);
    queue.returning.set(urgency, (queue.returning.get(urgency) ?? 0) + 1);
    const retryAfterMs = Math.min(maxMs, wantedMs + random() * RETURN_DELAY.spreadMs);
    return { outcome: 'refused', retryAfterMs };
  };

  /** Refuses the requests that can't be let in in time, given their places in the queue. */
  const refuseLate = (service: string, queue: ServiceQueue): void => {
    const now = clock.monotonic();
    const open = openGroups(service);
    const all = groups.groupsOf(service);
    const openingMs = open.length > 0 ? 0 : estimate.remainingMs(all);
    const rate = Math.max(rateOf(open.length > 0 ? open : all), Number.MIN_VALUE);
    const kept: QueuedRequest[] = [];
    const late: QueuedRequest[] = [];
    queue.requests.sort(inOrder).forEach((request) => {
      // A request that has begun to wait goes on while it can be served if a group opens now.
      const startsAt = now + (request.hasWaited ? 0 : openingMs) + kept.length / rate;
      const isLate = request.until <= now || (!request.isReturn && startsAt > request.until);
      (isLate || estimate.isLost(all) ? late : kept).push(request);
    });
    kept.forEach((request) => Object.assign(request, { hasWaited: true }));
    Object.assign(queue, { requests: kept });
    late.forEach((request) => request.resolve(refusal(service, request)));
  };

  const letIn = (queue: ServiceQueue, count: number): void => {
    queue.requests.splice(0, count).forEach(proceed);
  };

  /** Lets in requests that can meet their target, then those that can't, as far as the passes bear them. */
  const takeUp = (queue: ServiceQueue, open: readonly RankGroup[]): void => {
    const now = clock.monotonic();
    const rate = rateOf(open);
    const allowed = queue.allowance.accrue(rate);
    const lateAllowed = queue.lateAllowance.accrue(rate * LATE_FRACTION);
    const late = queue.requests.filter(({ onTimeUntil }) => onTimeUntil < now);
    const onTime = queue.requests.filter(({ onTimeUntil }) => onTimeUntil >= now).slice(0, allowed);
    const targetPauseMs = Math.min(...late.map((request) => request.targetPauseMs));
    const arePassesShort = open.every(
      ({ timings }) => (timings.pauseQuantile(0.5) ?? Infinity) <= targetPauseMs,
    );
    const rest = arePassesShort ? allowed - onTime.length : 0;
    const lateTaken = late.slice(0, lateAllowed + rest);
    const fromFloor = Math.min(lateAllowed, lateTaken.length);
    queue.lateAllowance.take(fromFloor);
    queue.allowance.take(onTime.length + lateTaken.length - fromFloor);
    const taken = new Set([...onTime, ...lateTaken]);
    Object.assign(queue, { requests: queue.requests.filter((request) => !taken.has(request)) });
    taken.forEach(proceed);
  };

  const sendProbe = (service: string, queue: ServiceQueue): void => {
    const due = groups.groupsOf(service).find(({ probe }) => probe.isDue());
    if (!due) return;
    // A request that was sent before is used when there is no other: it would be a retry.
    const unsentAt = queue.requests.findIndex(({ wasSent }) => !wasSent);
    const [prober] = queue.requests.splice(Math.max(0, unsentAt), 1);
    if (!prober) return;
    due.probe.reserve();
    prober.resolve({ outcome: 'probe' });
  };

  const check = (service: string): void => {
    const queue = queueOf(service);
    queue.stopTimer?.();
    queue.stopTimer = undefined;
    const open = openGroups(service);
    const present = queue.requests.filter(({ isGone }) => !isGone());
    queue.requests.filter(({ isGone }) => isGone()).forEach(proceed);
    queue.requests = present.sort(inOrder);
    if (isFree(open) || groups.groupsOf(service).length === 0) {
      queue.returning.clear();
      letIn(queue, queue.requests.length);
      return;
    }
    if (open.length > 0) takeUp(queue, open);
    else {
      // Nothing is saved up for the opening.
      [queue.allowance, queue.lateAllowance].forEach((allowance) => allowance.accrue(0));
      sendProbe(service, queue);
    }
    refuseLate(service, queue);
    if (queue.requests.length > 0) {
      queue.stopTimer = clock.after(CHECK_INTERVAL_MS, () => check(service));
    }
  };

  groups.onChange((group, { condition, previousMs }) => {
    if (condition === 'open') estimate.recordOpened(previousMs);
    [...queues.keys()]
      .filter((service) => groups.groupsOf(service).includes(group))
      .forEach((service) => {
        const queue = queueOf(service);
        const waiting = queue.requests.length;
        if (waiting > 0) log.event('take-up', { service, group: group.name, condition, waiting });
        check(service);
      });
  });

  return {
    wait: (service, request) => {
      if (isFree(openGroups(service)) || groups.groupsOf(service).length === 0) {
        return Promise.resolve({ outcome: 'proceed' });
      }
      return new Promise((resolve) => {
        const queue = queueOf(service);
        let hasEnded = false;
        queue.requests.push({
          ...request,
          queuedAt: clock.monotonic(),
          hasWaited: false,
          resolve: (outcome) => {
            hasEnded = true;
            resolve(outcome);
          },
        });
        check(service);
        if (!hasEnded) metrics.count('gateway_waited_for_group');
      });
    },
    release: (service) => {
      const queue = queues.get(service);
      if (queue) letIn(queue, queue.requests.length);
    },
    waiting: (service) => queues.get(service)?.requests.length ?? 0,
  };
};
