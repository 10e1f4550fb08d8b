/**
 * Limits the requests to one upstream that has started recently and is cold: it tolerates few of them until it is warm.
 *
 * The bound holds for all entries together, in any second, whether they are connected or not. Each entry has reserved
 * requests per second, one or a few, which need no message. Beyond that, entries share a pool and broadcast each request that they
 * take from it. The pool is a third of what is not reserved: three data centres that are cut off from each other, and
 * have not noticed it yet, may each use all of it. Where there are more entries than requests that may be reserved, each
 * cold upstream reserves them for some of the entries, and the others use the pool only.
 */

import type { Clock } from '@plantaindrum/common';
import type { WarmupDeclaration } from '../types.js';

/** Bounds on the requests to a cold upstream of a service. */
export interface WarmupBounds {
  /** Requests a second that it tolerates from all entries together. */
  perSecond: number;
  /** Requests that it may get at most in any second. */
  maxPerSecond: number;
  /** How long it is cold after its start, in milliseconds. */
  durationMs: number;
}

/** The bounds that a service's declaration and the operators' settings come to; undefined without a declaration. */
export const toWarmupBounds = (
  declared: WarmupDeclaration | undefined,
  { overshoot, slack }: { overshoot: number; slack: number },
): WarmupBounds | undefined =>
  declared && { ...declared, maxPerSecond: declared.perSecond * overshoot + slack };

/** The entries that share the bounds. */
export interface EntrySharing {
  /** Number of entries that may be running, including this one. */
  entries: number;
  /** Fraction of these that is linked, including this one. */
  connectedFraction: number;
  /** Position of this entry among them, from 0; it differs between upstreams. */
  position: (instance: string) => number;
}

/** Why an upstream counts as cold; `failure`: its process may have ended, and started again since. */
export type WarmupSource = 'list' | 'health' | 'peer' | 'failure';

/** The limit of one upstream; it holds across the starts of its instance. */
export interface WarmupLimit {
  /** Whether the upstream's service declares bounds. */
  hasBounds(): boolean;
  /**
   * Remaining time for which the upstream is cold, or may be after a failure, in milliseconds; 0 once it is warm, and
   * without bounds.
   */
  leftMs(): number;
  /** Whether it is known to be cold. */
  isCold(): boolean;
  /** Applies what the upstream states of its remaining warm-up, in its list entry with this sequence. */
  applyListed(leftMs: number, sequence: number): void;
  /** Applies what its health response states. */
  applyHealth(leftMs: number): void;
  /** Applies what another entry knows. */
  applyPeer(leftMs: number): void;
  /** Records that its process may have ended; the list entry with this sequence is the last known one. */
  recordFailure(sequence: number): void;
  /** Records that the instance has started again. Requests to the earlier start still count. */
  recordStart(): void;
  /** Records that this entry sends a request; returns whether it was taken from the pool, so others must know. */
  spend(): boolean;
  /** Records requests that another entry has taken from the pool. */
  spendPeer(requests: number): void;
  /** Milliseconds until a request may be sent, 0 if it may be now. */
  waitMs(): number;
}

/** Options of `createWarmupLimit`. */
export interface WarmupLimitOptions {
  instance: string;
  /** Undefined if the upstream's service declares no warm-up: nothing is limited then. */
  bounds: () => WarmupBounds | undefined;
  /** Undefined while the other entries are not known yet: nothing is sent to a cold upstream then. */
  sharing: () => EntrySharing | undefined;
  /** Called when the upstream becomes cold. */
  onCold: (leftMs: number, source: WarmupSource) => void;
  clock: Clock;
}

/**
 * Length of the window in which requests are counted, in ms: a second, and 50 ms by which two requests may be closer at
 * the upstream than they were when they were sent.
 */
export const WARMUP_WINDOW_MS = 1_050;
/** Data centres that may be cut off from each other, each with the full pool, before their entries notice. */
const PARTITION_SIDES = 3;
/**
 * A stated end that is this much later than the known one is of another warm-up of the same process, in ms; smaller
 * differences come from the age of list entries, which are up to 1.2 s old when they are read.
 */
const NEW_WARMUP_MS = 2_000;
/**
 * Number of list entries after which the process is known not to have ended at a failure: the first one may have been
 * written before.
 */
const CONFIRMING_ENTRIES = 2;

/** The shares of a cold upstream's bounds, in a window. */
export interface WarmupShares {
  /** Number of entries that have reserved requests, and how many each of them has. */
  reserving: number;
  perEntry: number;
  /** Requests that all entries share. */
  pool: number;
}

/**
 * Divides the bounds of a cold upstream among entries. As little as possible is reserved, since a reserved request that
 * an entry doesn't need is lost: just enough that the declared rate is reached with the pool.
 */
export const warmupShares = (
  { perSecond, maxPerSecond }: Pick<WarmupBounds, 'perSecond' | 'maxPerSecond'>,
  entries: number,
): WarmupShares => {
  if (maxPerSecond < 1) return { reserving: 0, perEntry: 0, pool: 0 };
  const tolerated = Math.max(1, Math.floor(Math.min(perSecond, maxPerSecond)));
  const half = Math.max(1, Math.floor(maxPerSecond / 2));
  const reserving = Math.min(entries, tolerated, half);
  const wanted = (PARTITION_SIDES * tolerated - maxPerSecond) / (PARTITION_SIDES - 1);
  const perEntry = Math.max(
    1,
    Math.min(Math.ceil(wanted / reserving), Math.floor(tolerated / reserving)),
  );
  const reserved = reserving * perEntry;
  const pool = Math.floor((maxPerSecond - reserved) / PARTITION_SIDES);
  return {
    reserving,
    perEntry,
    pool: Math.max(0, Math.min(pool, Math.max(1, tolerated - reserved))),
  };
};

/** Creates the limit of an upstream of which nothing is known. */
export const createWarmupLimit = (options: WarmupLimitOptions): WarmupLimit => {
  const { instance, bounds, sharing, onCold, clock } = options;
  let coldUntil = -Infinity;
  /** Sequence of the last list entry before a failure after which none has confirmed the process. */
  let failedAfter: number | undefined;
  /** When requests were sent in the current window (monotonic, ms). */
  const ownTimes: number[] = [];
  const poolTimes: number[] = [];

  const leftMs = (): number => {
    const left = coldUntil - clock.monotonic();
    return left > 0 && bounds() ? left : 0;
  };

  const setColdUntil = (until: number, source: WarmupSource): void => {
    const wasCold = leftMs() > 0;
    coldUntil = until;
    if (!wasCold && leftMs() > 0) onCold(leftMs(), source);
  };

  /** Of several statements on one warm-up the earliest end is right: a statement ages until it is read. */
  const applyStated = (stated: number, source: WarmupSource): void => {
    const until = clock.monotonic() + stated;
    const isOther = failedAfter !== undefined || until > coldUntil + NEW_WARMUP_MS;
    failedAfter = undefined;
    setColdUntil(isOther ? until : Math.min(coldUntil, until), source);
  };

  const dropOld = (times: number[]): void => {
    const oldest = clock.monotonic() - WARMUP_WINDOW_MS;
    while (times[0] !== undefined && times[0] <= oldest) times.shift();
  };

  /** Milliseconds until fewer than `max` of these requests are in the window; Infinity if there are none to give. */
  const waitUntilBelow = (times: number[], max: number): number => {
    if (max < 1) return Infinity;
    dropOld(times);
    const freed = times[times.length - max];
    return freed === undefined ? 0 : freed + WARMUP_WINDOW_MS - clock.monotonic();
  };

  const waits = (limits: WarmupBounds): { reservedMs: number; poolMs: number } => {
    const entries = sharing();
    if (!entries) return { reservedMs: Infinity, poolMs: Infinity };
    const { reserving, perEntry, pool } = warmupShares(limits, entries.entries);
    const isReserving = entries.entries <= reserving || entries.position(instance) < reserving;
    return {
      reservedMs: waitUntilBelow(ownTimes, isReserving ? perEntry : 0),
      poolMs: waitUntilBelow(poolTimes, Math.floor(pool * entries.connectedFraction)),
    };
  };

  return {
    hasBounds: () => bounds() !== undefined,
    leftMs,
    isCold: () => leftMs() > 0 && failedAfter === undefined,
    applyListed: (stated, sequence) => {
      const isConfirmed = failedAfter === undefined || sequence >= failedAfter + CONFIRMING_ENTRIES;
      if (isConfirmed) applyStated(stated, 'list');
    },
    applyHealth: (stated) => applyStated(stated, 'health'),
    applyPeer: (stated) => {
      setColdUntil(Math.max(coldUntil, clock.monotonic() + stated), 'peer');
    },
    recordFailure: (sequence) => {
      const limits = bounds();
      if (!limits) return;
      failedAfter = sequence;
      setColdUntil(Math.max(coldUntil, clock.monotonic() + limits.durationMs), 'failure');
    },
    recordStart: () => {
      failedAfter = undefined;
      coldUntil = -Infinity;
    },
    spend: () => {
      const limits = bounds();
      if (!limits) return false;
      const isFromPool = leftMs() > 0 && waits(limits).reservedMs > 0;
      dropOld(ownTimes);
      (isFromPool ? poolTimes : ownTimes).push(clock.monotonic());
      return isFromPool;
    },
    spendPeer: (requests) => {
      dropOld(poolTimes);
      const now = clock.monotonic();
      for (let n = 0; n < requests; n += 1) poolTimes.push(now);
    },
    waitMs: () => {
      const limits = bounds();
      if (!limits || leftMs() === 0) return 0;
      const { reservedMs, poolMs } = waits(limits);
      return Math.ceil(Math.min(reservedMs, poolMs, WARMUP_WINDOW_MS, leftMs()));
    },
  };
};
