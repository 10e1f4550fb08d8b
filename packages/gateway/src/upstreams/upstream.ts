import type { Clock } from '@plantaindrum/common';
import type { UpstreamRecord } from '../types.js';
import { createSlowdownTracker } from './slowdown-tracker.js';
import { createRateLimit } from './rate-limit.js';
import type { RateLimit } from './rate-limit.js';
import type { WarmupLimit } from './warmup-limit.js';

/** One upstream as this entry knows it. */
export interface Upstream {
  readonly record: UpstreamRecord;
  /** Replaces the upstream's record. */
  update(record: UpstreamRecord): void;
  /** Requests of this entry that are in flight at the upstream. */
  inFlight(): number;
  /** Counts a request of this entry as in flight. */
  begin(): void;
  /** Counts a request of this entry as ended. */
  end(): void;
  /** Sets the number of another entry's requests at the upstream; returns by how many it has grown. */
  recordPeerInFlight(peer: string, inFlight: number): number;
  /** Drops the requests of another entry that has disconnected. */
  forgetPeer(peer: string): void;
  /** All requests known to be at the upstream, including those that it reports, divided by its slots. */
  load(): number;
  /** Requests of all entries that are known to be in flight at the upstream. */
  total(): number;
  /** Records the slowdown that the upstream's agent reports. */
  recordSlowdown(pace: number): void;
  /** Time of its work relative to the baseline; 1 unless its agent has recently reported a slowdown. */
  slowdown(): number;
  /** Load with one more request, multiplied by the slowdown. */
  loadScoreOfNext(): number;
  /** Records the running and waiting requests that the upstream reports. */
  recordLoad(running: number, waiting: number): void;
  /** The rate limit that it advertises for all entries together. */
  readonly rate: RateLimit;
  /** The limit on requests while it is cold; undefined where none is kept. */
  readonly warmup: WarmupLimit | undefined;
  /** Whether it is warming up. */
  isWarming(): boolean;
  /** Records that its process may have ended, and started again since: for example, a connection was lost. */
  recordMayHaveEnded(): void;
  /** Record the outcome of an attempt, for the upstream's health. */
  recordSuccess(): void;
  recordFailure(kind: 'unreachable' | 'failed' | 'refused'): void;
  /** Records that the upstream refused a request without running it. */
  recordRefusal(): void;
  /** Whether it has just refused a request, and has answered none since. */
  isRefusing(): boolean;
  /** Whether it is selected only if there is no other upstream. */
  isSuspect(): boolean;
  /** Fraction of recent attempts that failed, 0 to 1. */
  failureRate(): number;
}

/** Weight of one outcome in the moving average of failures: about eight outcomes count. */
const OUTCOME_WEIGHT = 0.12;
/** Failure rate above which an upstream is suspect: three failures in a row from zero. */
const SUSPECT_FAILURE_RATE = 0.3;
/** First backoff after which a suspect upstream is tried again, doubled each time, in ms. */
const SUSPECT_BACKOFF_MS = 400;
/** Limit of the doubled backoff, in ms. */
const MAX_SUSPECT_BACKOFF_MS = 3_200;
/** How long an upstream counts as refusing after a refusal, in ms: a group re-forms within 600 ms. */
const REFUSAL_VALID_MS = 300;
/** How long an upstream's report of its load is valid, in ms: its queue changes. */
const LOAD_REPORT_VALID_MS = 250;

/**
 * Creates the state of one upstream; `connectedFraction` is the fraction of the entries that this one is connected
 * with.
 */
export const createUpstream = (
  initial: UpstreamRecord,
  clock: Clock,
  connectedFraction: () => number = () => 1,
  warmup?: WarmupLimit,
): Upstream => {
  let record = initial;
  let localInFlight = 0;
  const peers = new Map<string, number>();
  // Kept as a sum: it is read for every upstream at each selection, and adding up all entries took most of that time.
  let peersInFlight = 0;
  let failureRate = 0;
  let suspectUntil = -Infinity;
  let suspectBackoffMs = SUSPECT_BACKOFF_MS;
  let refusedAt = -Infinity;
  const slowdownTracker = createSlowdownTracker(clock);
  const rate = createRateLimit(clock, connectedFraction);
  let reportedLoad = { at: -Infinity, excess: 0 };

  warmup?.applyListed(initial.warmupLeftMs, initial.sequence);

  const total = (): number => localInFlight + peersInFlight;

  const setPeerInFlight = (peer: string, inFlight: number): number => {
    const increase = inFlight - (peers.get(peer) ?? 0);
    peersInFlight += increase;
    if (inFlight > 0) peers.set(peer, inFlight);
    else peers.delete(peer);
    return increase;
  };

  const load = (): number => {
    const excess =
      clock.monotonic() - reportedLoad.at < LOAD_REPORT_VALID_MS ? reportedLoad.excess : 0;
    return (total() + excess) / Math.max(1, record.slots);
  };

  const markSuspect = (): void => {
    const now = clock.monotonic();
    if (now < suspectUntil) return;
    suspectUntil = now + suspectBackoffMs;
    suspectBackoffMs = Math.min(MAX_SUSPECT_BACKOFF_MS, suspectBackoffMs * 2);
  };

  return {
    get record() {
      return record;
    },
    update: (next) => {
      record = next;
      warmup?.applyListed(next.warmupLeftMs, next.sequence);
    },
    inFlight: () => localInFlight,
    begin: () => {
      localInFlight += 1;
    },
    end: () => {
      localInFlight -= 1;
    },
    recordPeerInFlight: setPeerInFlight,
    forgetPeer: (peer) => {
      setPeerInFlight(peer, 0);
    },
    total,
    load,
    recordSlowdown: slowdownTracker.record,
    slowdown: slowdownTracker.slowdown,
    loadScoreOfNext: () => (load() + 1 / Math.max(1, record.slots)) * slowdownTracker.slowdown(),
    recordLoad: (running, waiting) => {
      reportedLoad = { at: clock.monotonic(), excess: Math.max(0, running + waiting - total()) };
    },
    rate,
    warmup,
    isWarming: () =>
      warmup?.isCold() === true || (record.warmupLeftMs > 0 && warmup?.hasBounds() !== true),
    recordMayHaveEnded: () => warmup?.recordFailure(record.sequence),
    recordRefusal: () => {
      refusedAt = clock.monotonic();
    },
    isRefusing: () => clock.monotonic() - refusedAt < REFUSAL_VALID_MS,
    recordSuccess: () => {
      refusedAt = -Infinity;
      failureRate *= 1 - OUTCOME_WEIGHT;
      if (clock.monotonic() > suspectUntil) suspectBackoffMs = SUSPECT_BACKOFF_MS;
    },
    recordFailure: (kind) => {
      failureRate += (1 - failureRate) * OUTCOME_WEIGHT;
      if (kind === 'unreachable') warmup?.recordFailure(record.sequence);
      if (kind === 'unreachable' || failureRate > SUSPECT_FAILURE_RATE) markSuspect();
    },
    isSuspect: () => clock.monotonic() < suspectUntil,
    failureRate: () => failureRate,
  };
};
