/**
 * Queues callers while the group behind a service forms again.
 *
 * After a power loss all ranks refuse for some 0.7 s, and callers whose streams were cut come back within that
 * time. Each comes back only once: refused then, it is lost. So a limited number of callers that won't come back
 * wait here; the others are told to retry later. If all of them started at once, on the uneven expert map that a group
 * forms with, new callers would be late as well. A single caller probes the service at intervals. Once its probe
 * succeeds, the waiting callers proceed, by urgency and then by the time that they have waited.
 */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';

/** How a wait ended. */
export type WaitOutcome =
  /** The upstreams serve requests again. */
  | 'open'
  /** The state is unknown; this caller's request is the probe. */
  | 'ask'
  /** The time that the caller may wait is over. */
  | 'too-long'
  /** The caller may retry later, or the wait queue is full. */
  | 'no-room';

/** Services whose upstreams refuse all requests, with their wait queues. */
export interface ServiceOutages {
  /** Most of a service's upstreams have just refused: an outage begins or goes on. */
  recordRefusal(service: string): void;
  /** One of its upstreams has answered: an outage is over. */
  recordAnswer(service: string): void;
  /** Ends an outage because the service's upstreams are no longer used: its waiting callers are decided on at once. */
  release(service: string): void;
  /** A request ended without showing the service's state: the upstream wasn't reached, or is another instance now. */
  recordInconclusive(service: string): void;
  /** Whether the service has an outage. */
  isUnavailable(service: string): boolean;
  /** Waits for the end of an outage, at most until the caller's `until`. */
  wait(service: string, caller: WaitingCaller): Promise<WaitOutcome>;
}

/** A caller that may wait. */
export interface WaitingCaller {
  /** It has been refused before and won't come back again. */
  isLastAttempt: boolean;
  /** End of the wait (monotonic, ms). */
  until: number;
  /** Whether it needn't wait any longer, and can't probe the service. */
  isGone: () => boolean;
  /** Order in which waiting callers proceed: lower values first, from 0. */
  urgency: number;
  /** Max callers that may wait for the service at this entry. */
  maxWaiting: number;
}

/** Options of the service outages. */
export interface ServiceOutagesOptions {
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/**
 * Interval between two probes, in ms. A group forms in 600 ms: an entry spends some five attempts of its retry
 * budget on probes, and callers wait half an interval longer than needed. Ranks refuse within some 5 ms, but the first
 * event of a group that has just formed takes up to a second; a probe that has not been refused by the time
 * of the next one therefore counts as success.
 */
const PROBE_INTERVAL_MS = 120;
/** An outage without waiting callers expires this long after its last refusal, in ms. */
const OUTAGE_EXPIRY_MS = 1_000;

interface QueuedCaller extends WaitingCaller {
  queuedAt: number;
  resolve: (outcome: WaitOutcome) => void;
}

interface Outage {
  startedAt: number;
  lastRefusalAt: number;
  lastProbeAt: number;
  /** A probe has been sent and has not been refused yet. */
  isProbePending: boolean;
  queue: QueuedCaller[];
  stopTimer: () => void;
}

const byUrgencyAndAge = (a: QueuedCaller, b: QueuedCaller): number =>
  a.urgency - b.urgency || a.queuedAt - b.queuedAt;

/** Creates the outages and wait queues of one entry. */
export const createServiceOutages = ({
  clock,
  metrics,
  log,
}: ServiceOutagesOptions): ServiceOutages => {
  const outages = new Map<string, Outage>();

  const isExpired = ({ lastRefusalAt, queue }: Outage): boolean =>
    queue.length === 0 && clock.monotonic() - lastRefusalAt > OUTAGE_EXPIRY_MS;

  const endOutage = (service: string, outage: Outage): void => {
    outages.delete(service);
    outage.stopTimer();
    const callers = outage.queue.sort(byUrgencyAndAge);
    const ms = Math.round(clock.monotonic() - outage.startedAt);
    log.event('service-open', { service, ms, waiting: callers.length });
    callers.forEach(({ resolve }) => resolve('open'));
  };

  /** Ends waits whose time is over and lets the next caller probe; ends the outage if the last probe was not refused. */
  const probeNext = (service: string, outage: Outage): void => {
    if (outage.isProbePending) {
      endOutage(service, outage);
      return;
    }
    const now = clock.monotonic();
    const isOver = ({ until, isGone }: QueuedCaller): boolean => until <= now || isGone();
    const expired = outage.queue.filter(isOver);
    const remaining = outage.queue.filter((each) => !isOver(each)).sort(byUrgencyAndAge);
    const prober = remaining.shift();
    Object.assign(outage, {
      queue: remaining,
      lastProbeAt: now,
      isProbePending: prober !== undefined,
    });
    expired.forEach(({ resolve }) => resolve('too-long'));
    prober?.resolve('ask');
    if (prober) {
      Object.assign(outage, {
        stopTimer: clock.after(PROBE_INTERVAL_MS, () => probeNext(service, outage)),
      });
    }
  };

  const endOutageOf = (service: string): void => {
    const outage = outages.get(service);
    if (outage) endOutage(service, outage);
  };

  return {
    recordRefusal: (service) => {
      const now = clock.monotonic();
      const known = outages.get(service);
      if (known) Object.assign(known, { lastRefusalAt: now, isProbePending: false });
      else {
        log.event('service-closed', { service });
        const times = { startedAt: now, lastRefusalAt: now, lastProbeAt: now };
        const emptyQueue = { isProbePending: false, queue: [], stopTimer: () => {} };
        outages.set(service, { ...times, ...emptyQueue });
      }
    },
    recordAnswer: endOutageOf,
    release: endOutageOf,
    recordInconclusive: (service) => {
      const outage = outages.get(service);
      if (outage) outage.isProbePending = false;
    },
    isUnavailable: (service) => {
      const outage = outages.get(service);
      if (outage && isExpired(outage)) outages.delete(service);
      return outages.has(service);
    },
    wait: (service, caller) => {
      const outage = outages.get(service);
      const now = clock.monotonic();
      if (!outage) return Promise.resolve('open');
      if (caller.until <= now) return Promise.resolve('too-long');
      const isFull = outage.queue.length >= caller.maxWaiting;
      if (!caller.isLastAttempt || isFull) {
        if (now - outage.lastProbeAt < PROBE_INTERVAL_MS) return Promise.resolve('no-room');
        if (outage.isProbePending) {
          endOutage(service, outage);
          return Promise.resolve('open');
        }
        Object.assign(outage, { lastProbeAt: now, isProbePending: true });
        return Promise.resolve('ask');
      }
      metrics.count('gateway_waited_for_group');
      return new Promise((resolve) => {
        outage.queue.push({ ...caller, queuedAt: now, resolve });
        if (outage.queue.length > 1) return;
        outage.stopTimer();
        const stopTimer = clock.after(PROBE_INTERVAL_MS, () => probeNext(service, outage));
        Object.assign(outage, { stopTimer });
      });
    },
  };
};
