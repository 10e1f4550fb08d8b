/**
 * When a single request is sent to a group that isn't known to be open, so that a stale note can't keep it closed.
 *
 * At most one probe of all linked entries is in flight: each entry announces its own, and entries take turns by a delay
 * that is longer than an announcement takes.
 */

import type { Clock } from '@plantaindrum/common';
import type { GroupState } from './group-state.js';

/** Probes of one group. */
export interface GroupProbe {
  /** Whether a request may be sent to the group as a probe now. */
  isDue(): boolean;
  /** Keeps the next probe for a request that is about to be sent. */
  reserve(): void;
  /** Whether a request may be sent as the probe that is due or reserved. */
  isOffered(): boolean;
  /** Records that this entry, or another one, sends a probe. */
  recordSent(isOwn: boolean): void;
  /** Records that the connection of this entry's probe is open. */
  recordConnected(): void;
  /** Records that the probe was refused, or that its upstream wasn't reached. */
  recordFailed(): void;
}

/** First probe after a group has closed, in ms: it opens 600 ms after its last rank is back at the earliest. */
const FIRST_PROBE_MS = 600;
/** Interval between probes by the time for which the group has been closed, in ms; the retry limit counts each one. */
const PROBE_INTERVALS_MS = [
  { closedMs: 3_000, intervalMs: 200 },
  { closedMs: 10_000, intervalMs: 500 },
  { closedMs: Infinity, intervalMs: 2_000 },
] as const;
/** Interval between probes of a group of which nothing is known, in ms. */
const UNKNOWN_INTERVAL_MS = 200;
/**
 * Time after which a probe that was not refused shows that the group is open, in ms, from the opening of its connection.
 * Ranks refuse within some 5 ms, but the first event of a group that has just formed takes up to a second.
 */
const ACCEPTED_AFTER_MS = 100;
/** Time for which no second probe is sent while the first one has no outcome, in ms: connections time out after 350. */
const MAX_PENDING_MS = 400;
/** The same for the probe of another entry, which announces only a success. */
const MAX_PEER_PENDING_MS = 150;
/** Time for which a reserved probe is kept, in ms; the request may have been cancelled. */
const RESERVED_MS = 60;

/** Creates the probes of one group; `turnMs` is the delay of this entry's turn. */
export const createGroupProbe = (
  state: GroupState,
  turnMs: () => number,
  onAccepted: () => void,
  clock: Clock,
): GroupProbe => {
  const createdAt = clock.monotonic();
  let lastAt = -Infinity;
  let reservedUntil = -Infinity;
  let pending: { isOwn: boolean; stopTimer: () => void } | undefined;

  const nextAt = (): number => {
    const since = state.since();
    if (state.condition() === 'unknown') return Math.max(createdAt, lastAt + UNKNOWN_INTERVAL_MS);
    // Probes of an earlier closure don't count.
    if (lastAt < since) return since + FIRST_PROBE_MS;
    const closedMs = clock.monotonic() - since;
    const interval = PROBE_INTERVALS_MS.find((each) => closedMs < each.closedMs);
    return lastAt + (interval?.intervalMs ?? 0);
  };

  const isAllowed = (): boolean => state.condition() !== 'open' && !pending;
  const isReserved = (): boolean => clock.monotonic() < reservedUntil;
  const isDue = (): boolean =>
    isAllowed() && !isReserved() && clock.monotonic() >= nextAt() + turnMs();

  const endPending = (): void => {
    pending?.stopTimer();
    pending = undefined;
  };

  const startPending = (isOwn: boolean, timeoutMs: number, onTimeout: () => void): void => {
    endPending();
    const stopTimer = clock.after(timeoutMs, () => {
      pending = undefined;
      onTimeout();
    });
    pending = { isOwn, stopTimer };
  };

  return {
    isDue,
    reserve: () => {
      reservedUntil = clock.monotonic() + RESERVED_MS;
    },
    isOffered: () => isDue() || (isAllowed() && isReserved()),
    recordSent: (isOwn) => {
      reservedUntil = -Infinity;
      lastAt = clock.monotonic();
      startPending(isOwn, isOwn ? MAX_PENDING_MS : MAX_PEER_PENDING_MS, () => {});
    },
    recordConnected: () => {
      if (pending?.isOwn) startPending(true, ACCEPTED_AFTER_MS, onAccepted);
    },
    recordFailed: endPending,
  };
};
