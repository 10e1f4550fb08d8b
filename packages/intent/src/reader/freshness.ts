/** Tracks whether this node's offset is known to be the latest, and if not, why. */

import type { Clock, Logger, Metrics } from '@plantaindrum/common';
import type { IntentFreshness, IntentStaleReason, IntentState } from '../types.js';
import type { IntentPeer } from './peers.js';

/** Options of `createFreshnessTracker`. */
export interface FreshnessOptions {
  clock: Clock;
  metrics: Metrics;
  logger: Logger;
  /** Without a confirmation for this long a node no longer counts as fresh, in milliseconds. */
  staleAfterMs: number;
  offset: () => number;
  /** Whether the log no longer holds records that this node needs. */
  isScanning: () => boolean;
}

/** Derives freshness from the answers of the log and the offsets of peers. */
export interface FreshnessTracker {
  current(): IntentFreshness;
  /** Records that this node's offset was the latest at `monotonic` time. */
  confirm(monotonic: number): void;
  /** Records the log's end: the offset after its last record. */
  recordLogEnd(end: number): void;
  /** Records whether a call to the log was answered. */
  recordLogCall(reached: boolean): void;
  /** Whether the last call to the log was answered; true before the first call. */
  isLogReachable(): boolean;
  /** Records the offset in a frame or answer of a peer. */
  recordPeerOffset(peer: IntentPeer, offset: number): void;
  /** Records that a peer answered a call. */
  recordPeerAnswer(): void;
  removePeer(peer: IntentPeer): void;
  /** Lets a starting node count as caught up by its peers alone while the log is unreachable. */
  catchUpFromPeers(): void;
  /** Counts and logs a change of state. Call it after an update, and periodically as states expire. */
  reportStateChange(): void;
  /** Calls `fn` once the node has caught up. */
  onCaughtUp(fn: () => void): void;
}

/** Creates the tracker of a starting node. */
export const createFreshnessTracker = (options: FreshnessOptions): FreshnessTracker => {
  const { clock, metrics, logger, staleAfterMs } = options;
  const peerOffsets = new Map<IntentPeer, number>();
  let lastLogOffset = -1;
  let isReachable = false;
  let isLogTried = false;
  let caughtUp = false;
  let confirmedAt: number | undefined;
  let peerAnsweredAt: number | undefined;
  let reportedState: IntentState = 'starting';
  let caughtUpListeners: (() => void)[] = [];

  const isRecent = (at: number | undefined): boolean =>
    at !== undefined && clock.monotonic() - at <= staleAfterMs;

  const behind = (): number =>
    Math.max(0, Math.max(lastLogOffset, ...peerOffsets.values()) - options.offset());

  const startingReason = (): IntentStaleReason => {
    if (options.isScanning()) return 'no-usable-checkpoint';
    if (isReachable) return lastLogOffset > options.offset() ? 'replaying' : 'behind-peer';
    if (!isLogTried) return 'replaying';
    return peerOffsets.size > 0 ? 'asking-peers' : 'log-and-peers-unreachable';
  };

  const staleReason = (state: IntentState): IntentStaleReason => {
    if (state === 'isolated') return 'log-and-peers-unreachable';
    if (options.isScanning()) return 'no-usable-checkpoint';
    return behind() > 0 ? 'behind-peer' : 'log-unreachable';
  };

  const currentState = (): IntentState => {
    if (!caughtUp) return 'starting';
    if (isRecent(confirmedAt)) return 'fresh';
    return isRecent(peerAnsweredAt) ? 'stale' : 'isolated';
  };

  const current = (): IntentFreshness => {
    const state = currentState();
    const base = { caughtUp, behind: behind(), state };
    const confirmed =
      confirmedAt === undefined ? {} : { confirmedMsAgo: clock.monotonic() - confirmedAt };
    if (state === 'fresh') return { ...base, ...confirmed };
    const reason = state === 'starting' ? startingReason() : staleReason(state);
    return { ...base, ...confirmed, reason };
  };

  const reportStateChange = (): void => {
    const { state, reason } = current();
    if (state === reportedState) return;
    reportedState = state;
    metrics.count('intent_state', { state });
    const line = `intent is ${state}${reason ? `: ${reason}` : ''}`;
    if (state === 'fresh') logger.info(line);
    else logger.warn(line);
  };

  const catchUp = (): void => {
    if (caughtUp || behind() > 0 || options.isScanning()) return;
    caughtUp = true;
    const listeners = caughtUpListeners;
    caughtUpListeners = [];
    listeners.forEach((fn) => fn());
  };

  return {
    current,
    confirm: (monotonic) => {
      confirmedAt = Math.max(confirmedAt ?? monotonic, monotonic);
      if (isRecent(confirmedAt)) catchUp();
      reportStateChange();
    },
    recordLogEnd: (end) => {
      lastLogOffset = Math.max(lastLogOffset, end - 1);
    },
    recordLogCall: (value) => {
      isLogTried = true;
      isReachable = value;
    },
    isLogReachable: () => isReachable || !isLogTried,
    recordPeerOffset: (peer, offset) => {
      peerOffsets.set(peer, offset);
    },
    recordPeerAnswer: () => {
      peerAnsweredAt = clock.monotonic();
    },
    removePeer: (peer) => {
      peerOffsets.delete(peer);
    },
    catchUpFromPeers: () => {
      catchUp();
      reportStateChange();
    },
    reportStateChange,
    onCaughtUp: (fn) => {
      if (caughtUp) fn();
      else caughtUpListeners.push(fn);
    },
  };
};
