/** Limits the requests in flight at a service's upstreams, and refuses those beyond the limits. */

import type { Clock, EventLog } from '@plantaindrum/common';
import { maxStreamsWithin, proportionalPassTimes } from '@plantaindrum/admission';
import type { PassState, PassTimes } from '@plantaindrum/admission';
import type { Upstream } from '../upstreams/upstream.js';
import type { EventTimings } from './event-timings.js';
import { createEventTimings } from './event-timings.js';

/** Properties of one request that its admission depends on. */
export interface AdmissionRequest {
  service: string;
  /** Longest pause between two events that counts as on time, in ms; undefined for requests without a stream. */
  targetPauseMs: number | undefined;
  /** Pass times that the service's engines declare. */
  passTimes: PassTimes | undefined;
  /** Connections that one upstream accepts from all entries together. */
  maxConnections: number;
  /** The caller has been refused before; refusing it again costs more than the first refusal. */
  isReturn: boolean;
}

/** Outcome of admission. */
export type AdmissionDecision =
  { admitted: true } | { admitted: false; reason: 'upstreams-full' | 'pace-too-slow' };

/** Admission control of one entry. */
export interface Admission {
  /** Decides on a request; `open` are those of the `upstreams` in use that may receive a request now. */
  decide(
    request: AdmissionRequest,
    upstreams: readonly Upstream[],
    open?: readonly Upstream[],
  ): AdmissionDecision;
  /** Event timings of a service's streams. */
  eventTimings(service: string): EventTimings;
  /** Current limit on a service's streams in flight at all entries together; undefined before the first decision. */
  limit(service: string): number | undefined;
}

/**
 * Requests per slot above which an upstream receives no further stream. With a queue of a quarter of the
 * slots, requests waiting in the queue got their first event late: on an emulated group, streams earned
 * 0.887 instead of 0.952 of their total worth at high load, and 0.792 instead of 0.818 in a burst.
 */
const MAX_STREAM_LOAD = 1;
/** The same for requests without a stream, which are short: a queue of twice the slots drains quickly. */
const MAX_PLAIN_LOAD = 3;
/**
 * Pause, as a multiple of the target, above which streams are limited. After a shift in expert load, pauses are
 * long for a few passes until the expert map has changed; refusing streams in that time costs more than it saves.
 */
const PAUSE_BOUND_FACTOR = 1.5;
/** Quantile of the recent pauses that is compared with the bound. */
const PAUSE_QUANTILE = 0.75;
/** Period of updates of the stream limit, in ms: about two passes of a group. */
const UPDATE_PERIOD_MS = 150;
/** Fraction of all slots below which streams are not limited: their number isn't the cause of long pauses then. */
const MIN_LIMIT_FRACTION = 0.25;
/** Fraction by which streams of returning callers may exceed the limit. */
const RETURNING_CALLER_MARGIN = 0.12;

/** Streams in flight, and the number of engines that they are spread over. */
type GroupLoad = Pick<PassState, 'streams' | 'engines'>;

interface StreamLimit {
  value: number;
  updatedAt: number;
}

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/** Creates the admission control of one entry. */
export const createAdmission = (clock: Clock, log: EventLog): Admission => {
  const timingsByService = new Map<string, EventTimings>();
  const limits = new Map<string, StreamLimit>();

  const timingsOf = (service: string): EventTimings => {
    const timings = timingsByService.get(service) ?? createEventTimings(clock);
    timingsByService.set(service, timings);
    return timings;
  };

  const updateStreamLimit = (
    request: AdmissionRequest,
    slots: number,
    group: GroupLoad,
  ): number => {
    const now = clock.monotonic();
    const maxStreams = slots * MAX_STREAM_LOAD;
    const limit = limits.get(request.service) ?? { value: maxStreams, updatedAt: now };
    limits.set(request.service, limit);
    const { targetPauseMs } = request;
    if (now - limit.updatedAt < UPDATE_PERIOD_MS || targetPauseMs === undefined) return limit.value;
    limit.updatedAt = now;
    const passMs = timingsOf(request.service).pauseQuantile(PAUSE_QUANTILE) ?? 0;
    const boundMs = targetPauseMs * PAUSE_BOUND_FACTOR;
    const times = request.passTimes ?? proportionalPassTimes;
    const sustainableStreams = maxStreamsWithin({ ...group, times, passMs, boundMs });
    const isLimitUseful = sustainableStreams >= MIN_LIMIT_FRACTION * slots;
    const before = limit.value;
    limit.value = isLimitUseful ? Math.min(maxStreams, sustainableStreams) : maxStreams;
    if (isLimitUseful && limit.value < before) {
      const { service } = request;
      log.event('stream-limit-cut', { service, passMs, before, limit: limit.value, ...group });
    }
    return limit.value;
  };

  const decideStream = (
    request: AdmissionRequest,
    upstreams: readonly Upstream[],
  ): AdmissionDecision => {
    const slots = sum(upstreams.map(({ record }) => record.slots));
    const inFlight = sum(upstreams.map((upstream) => upstream.total()));
    const limit = updateStreamLimit(request, slots, {
      streams: inFlight,
      engines: upstreams.length,
    });
    const maxInFlight = request.isReturn ? limit * (1 + RETURNING_CALLER_MARGIN) : limit;
    if (inFlight + 1 > maxInFlight) return { admitted: false, reason: 'pace-too-slow' };
    return { admitted: true };
  };

  return {
    decide: (request, upstreams, open = upstreams) => {
      const maxLoad = request.targetPauseMs === undefined ? MAX_PLAIN_LOAD : MAX_STREAM_LOAD;
      const minLoad = Math.min(...open.map((upstream) => upstream.load()));
      const isSaturated = open.every((upstream) => upstream.total() >= request.maxConnections);
      if (minLoad >= maxLoad || isSaturated) return { admitted: false, reason: 'upstreams-full' };
      return request.targetPauseMs === undefined
        ? { admitted: true }
        : decideStream(request, upstreams);
    },
    eventTimings: timingsOf,
    limit: (service) => limits.get(service)?.value,
  };
};
