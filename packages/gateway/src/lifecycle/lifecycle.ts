/** Phases of an entry between its stop signal and its exit, and which requests it can still serve. */

import type { Clock } from '@plantaindrum/common';
import { createServiceTimes } from './service-times.js';
import type { ServiceTimes } from './service-times.js';

/** Phases of an entry, in their order. */
export type Phase =
  | 'serving'
  /** The load balancer in front still sends new connections, because it hasn't noticed the stop yet. */
  | 'stopping'
  /** New requests are refused; those that were accepted are served. */
  | 'closing'
  /** The grace period is over: requests that haven't ended are ended. */
  | 'exiting';

/** Limits on the time of a request. */
export interface RequestTime {
  route: { name: string };
  /** When its response is due at the latest (monotonic, ms). */
  deadlineAt: number;
}

/** The phase of an entry. */
export interface Lifecycle {
  phase(): Phase;
  /** Whether the stop signal has come. */
  isStopping(): boolean;
  /** Whether a request that isn't running yet will have been served when the process exits. */
  canServe(request: RequestTime): boolean;
  /** Records how long an answered request took, from its arrival, in ms. */
  recordServed: ServiceTimes['record'];
  /** Enters the phase `stopping`; the process exits at `exitAt` (monotonic, ms). */
  stop(exitAt: number): void;
  /** Enters a later phase. */
  enter(phase: 'closing' | 'exiting'): void;
  /** Calls the listener on entering each phase; the returned function unsubscribes. */
  onChange(listener: (phase: Phase) => void): () => void;
}

/**
 * Time after the stop signal, in ms, in which a request is accepted on the strength of the service times of its route:
 * the load balancer sends new connections for two probe intervals. Later, only its deadline counts.
 */
const NOTICE_MS = 2_500;
/** Multiple of the longest observed service time that must be left for a request. */
const SERVICE_TIME_MARGIN = 1.25;

/** Creates the lifecycle of an entry that serves. */
export const createLifecycle = (clock: Clock): Lifecycle => {
  const serviceTimes = createServiceTimes(clock);
  const listeners = new Set<(phase: Phase) => void>();
  let phase: Phase = 'serving';
  let exitAt = Infinity;
  let noticeUntil = Infinity;

  const enter = (next: Phase): void => {
    phase = next;
    [...listeners].forEach((listener) => listener(next));
  };

  const isExpectedInTime = ({ name }: RequestTime['route']): boolean => {
    const now = clock.monotonic();
    const longestMs = serviceTimes.longest(name);
    if (phase !== 'stopping' || now > noticeUntil || longestMs === undefined) return false;
    return now + longestMs * SERVICE_TIME_MARGIN <= exitAt;
  };

  return {
    phase: () => phase,
    isStopping: () => phase !== 'serving',
    canServe: ({ route, deadlineAt }) => deadlineAt <= exitAt || isExpectedInTime(route),
    recordServed: serviceTimes.record,
    stop: (at) => {
      exitAt = at;
      noticeUntil = clock.monotonic() + NOTICE_MS;
      enter('stopping');
    },
    enter,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};
