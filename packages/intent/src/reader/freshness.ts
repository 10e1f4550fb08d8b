/** Whether this node's offset is known to be the newest, and since when it is not. */

import type { Clock, Logger, Metrics } from '@plantaindrum/common';
import type { IntentFreshness, IntentStaleReason, IntentState } from '../types.js';
import type { IntentPeer } from './peers.js';

/** What the freshness of a node is worked out from. */
export interface FreshnessOptions {
  clock: Clock;
  metrics: Metrics;
  logger: Logger;
  /** Without a confirmation for this long a node no longer counts as fresh, in milliseconds. */
  staleAfterMs: number;
  offset: () => number;
  /** Whether the log lacks records that this node needs. */
  scanning: () => boolean;
}

/** Keeps what the log and the peers have shown. */
export interface FreshnessTracker {
  now(): IntentFreshness;
  /** Known at `monotonic` time: this node's offset was the newest. */
  confirm(monotonic: number): void;
  /** The log ends before `end`. */
  logEnds(end: number): void;
  /** The log answered, or it did not. */
  logReached(reached: boolean): void;
  logIsReached(): boolean;
  /** A frame or answer of a peer showed this offset. */
  peerShowed(peer: IntentPeer, offset: number): void;
  /** A peer answered a call. */
  peerAnswered(): void;
  peerGone(peer: IntentPeer): void;
  /** Peers alone vouch for the offset while the log is unreachable; see `createPeerQuorum`. */
  vouchedByPeers(): void;
  /** Counts and reports a change of state; to be called after news and from time to time. */
  review(): void;
  onCaughtUp(fn: () => void): void;
}

/** Creates the tracker of a starting node. */
export const createFreshnessTracker = (options: FreshnessOptions): FreshnessTracker => {
  const { clock, metrics, logger, staleAfterMs } = options;
  const shown = new Map<IntentPeer, number>();
  let logLast = -1;
  let reached = false;
  let tried = false;
  let caughtUp = false;
  let confirmedAt: number | undefined;
  let peerAnsweredAt: number | undefined;
  let reported: IntentState = 'starting';
  let whenCaughtUp: (() => void)[] = [];

  const within = (since: number | undefined): boolean =>
    since !== undefined && clock.monotonic() - since <= staleAfterMs;

  const behind = (): number => Math.max(0, Math.max(logLast, ...shown.values()) - options.offset());

  const startingReason = (): IntentStaleReason => {
    if (options.scanning()) return 'no-usable-checkpoint';
    if (reached) return logLast > options.offset() ? 'replaying' : 'behind-peer';
    if (!tried) return 'replaying';
    return shown.size > 0 ? 'asking-peers' : 'log-and-peers-unreachable';
  };

  const staleReason = (state: IntentState): IntentStaleReason => {
    if (state === 'isolated') return 'log-and-peers-unreachable';
    if (options.scanning()) return 'no-usable-checkpoint';
    return behind() > 0 ? 'behind-peer' : 'log-unreachable';
  };

  const stateNow = (): IntentState => {
    if (!caughtUp) return 'starting';
    if (within(confirmedAt)) return 'fresh';
    return within(peerAnsweredAt) ? 'stale' : 'isolated';
  };

  const now = (): IntentFreshness => {
    const state = stateNow();
    const base = { caughtUp, behind: behind(), state };
    const confirmed =
      confirmedAt === undefined ? {} : { confirmedMsAgo: clock.monotonic() - confirmedAt };
    if (state === 'fresh') return { ...base, ...confirmed };
    const reason = state === 'starting' ? startingReason() : staleReason(state);
    return { ...base, ...confirmed, reason };
  };

  const review = (): void => {
    const { state, reason } = now();
    if (state === reported) return;
    reported = state;
    metrics.count('intent_state', { state });
    const line = `intent is ${state}${reason ? `: ${reason}` : ''}`;
    if (state === 'fresh') logger.info(line);
    else logger.warn(line);
  };

  const reachNewest = (): void => {
    if (caughtUp || behind() > 0 || options.scanning()) return;
    caughtUp = true;
    const waiting = whenCaughtUp;
    whenCaughtUp = [];
    waiting.forEach((fn) => fn());
  };

  return {
    now,
    confirm: (monotonic) => {
      confirmedAt = Math.max(confirmedAt ?? monotonic, monotonic);
      if (within(confirmedAt)) reachNewest();
      review();
    },
    logEnds: (end) => {
      logLast = Math.max(logLast, end - 1);
    },
    logReached: (value) => {
      tried = true;
      reached = value;
    },
    logIsReached: () => reached || !tried,
    peerShowed: (peer, offset) => {
      shown.set(peer, offset);
    },
    peerAnswered: () => {
      peerAnsweredAt = clock.monotonic();
    },
    peerGone: (peer) => {
      shown.delete(peer);
    },
    vouchedByPeers: () => {
      reachNewest();
      review();
    },
    review,
    onCaughtUp: (fn) => {
      if (caughtUp) fn();
      else whenCaughtUp.push(fn);
    },
  };
};
