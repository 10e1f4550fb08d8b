/** How many requests may be at a service's upstreams, and what is refused beyond that. */

import type { Clock, EventLog } from '@plantaindrum/common';
import type { Upstream } from '../upstreams/upstream.js';
import type { PaceMeter } from './pace.js';
import { createPaceMeter } from './pace.js';
import { proportionalPasses, streamsWithin } from './pass-model.js';
import type { PassState, PassTimes } from './pass-model.js';

/** What decides on one request. */
export interface AdmissionRequest {
  service: string;
  /** Longest pause between two events that is on time, in ms; undefined for no stream. */
  targetPauseMs: number | undefined;
  /** What the service's engines state of their passes. */
  passTimes: PassTimes | undefined;
  /** Connections that one upstream accepts from all entries together. */
  maxConnections: number;
  /** The caller was refused before: refusing it again costs more than the first time. */
  isReturn: boolean;
}

/** Outcome of admission. */
export type AdmissionDecision =
  { admitted: true } | { admitted: false; reason: 'upstreams-full' | 'pace-too-slow' };

/** Admission of one entry. */
export interface Admission {
  /** Decides by the upstreams that new work goes to, and by those of them that may be sent a request now. */
  decide(
    request: AdmissionRequest,
    upstreams: readonly Upstream[],
    open?: readonly Upstream[],
  ): AdmissionDecision;
  pace(service: string): PaceMeter;
  /** Limit on streams that are in flight at all entries together; for the metrics. */
  limit(service: string): number | undefined;
}

/**
 * Requests at one upstream, over its slots, up to which a stream is sent to it. A queue of a quarter of
 * the slots was worth less on an emulated group: 0.887 for 0.952 at high load, 0.792 for 0.818 in a burst,
 * as those who wait there for a place see their first event late.
 */
const FULL_STREAMS = 1;
/** The same for requests without a stream: their work is short, and a queue of two turns is soon gone. */
const FULL_PLAIN = 3;
/**
 * Pause, as a share of the target, above which streams are limited. After a shift of popularity pauses
 * are long for a few passes until the map has changed, and refusing meanwhile costs more than it saves.
 */
const AIMED_SHARE = 1.5;
/** Share of pauses that must be below the aimed one. */
const JUDGED_SHARE = 0.75;
/** The limit is judged this often, in ms: about two passes of a group. */
const JUDGE_MS = 150;
/** Streams are never limited below this share of all slots: their number isn't the cause then. */
const LEAST_SHARE = 0.25;
/** What a returning caller may have beyond the limit, as a share of it. */
const RETURN_SHARE = 0.12;

/** Streams in flight, and the engines that they are spread over. */
type Group = Pick<PassState, 'streams' | 'engines'>;

interface StreamLimit {
  value: number;
  judgedAt: number;
}

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/** Creates the admission of one entry. */
export const createAdmission = (clock: Clock, log: EventLog): Admission => {
  const paces = new Map<string, PaceMeter>();
  const limits = new Map<string, StreamLimit>();

  const pace = (service: string): PaceMeter => {
    const known = paces.get(service) ?? createPaceMeter(clock);
    paces.set(service, known);
    return known;
  };

  const judge = (request: AdmissionRequest, slots: number, group: Group): number => {
    const now = clock.monotonic();
    const most = slots * FULL_STREAMS;
    const limit = limits.get(request.service) ?? { value: most, judgedAt: now };
    limits.set(request.service, limit);
    const { targetPauseMs } = request;
    if (now - limit.judgedAt < JUDGE_MS || targetPauseMs === undefined) return limit.value;
    limit.judgedAt = now;
    const passMs = pace(request.service).pause(JUDGED_SHARE) ?? 0;
    const boundMs = targetPauseMs * AIMED_SHARE;
    const times = request.passTimes ?? proportionalPasses;
    const within = streamsWithin({ ...group, times, passMs, boundMs });
    const isCause = within >= LEAST_SHARE * slots;
    const before = limit.value;
    limit.value = isCause ? Math.min(most, within) : most;
    if (isCause && limit.value < before) {
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
    const limit = judge(request, slots, { streams: inFlight, engines: upstreams.length });
    const most = request.isReturn ? limit * (1 + RETURN_SHARE) : limit;
    if (inFlight + 1 > most) return { admitted: false, reason: 'pace-too-slow' };
    return { admitted: true };
  };

  return {
    decide: (request, upstreams, open = upstreams) => {
      const full = request.targetPauseMs === undefined ? FULL_PLAIN : FULL_STREAMS;
      const least = Math.min(...open.map((upstream) => upstream.load()));
      const isBudgetSpent = open.every((upstream) => upstream.total() >= request.maxConnections);
      if (least >= full || isBudgetSpent) return { admitted: false, reason: 'upstreams-full' };
      return request.targetPauseMs === undefined
        ? { admitted: true }
        : decideStream(request, upstreams);
    },
    pace,
    limit: (service) => limits.get(service)?.value,
  };
};
