/**
 * Fetches records from peers when they don't arrive from the log in time.
 *
 * Frames between nodes carry the sender's replayed offset. A node that receives a higher offset
 * than its own has a gap, and fetches the missing records from the history of that peer. These are
 * the gap detection and history buffer of Kaashoek, Tanenbaum and Verstoep, "Group Communication
 * in Amoeba and its Applications", with the log in the place of their sequencer.
 */

import type { Clock, Metrics, Random } from '@plantaindrum/common';
import type { FreshnessTracker } from './freshness.js';
import type { FetchAnswer, IntentPeer } from './peers.js';
import type { IntentReplica } from './replica.js';

/** Options of `createPeerFetcher`. */
export interface PeerFetcherOptions {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  replica: IntentReplica;
  freshness: FreshnessTracker;
  applyAnswer: (answer: FetchAnswer) => void;
  /** Time for a missing record to arrive from the log before it is fetched from a peer, in milliseconds. */
  gapGraceMs: number;
  /** Mean interval of polling a peer while the log doesn't confirm the offset, in milliseconds. */
  pollMs: number;
  /** Time to wait for more peers before fewer than `MIN_CONFIRMING_PEERS` suffice, in milliseconds. */
  quorumWaitMs: number;
  /** False turns gap detection off, to compare runs with and without it. */
  detectGaps: boolean;
}

/** Fetches intent from peers. */
export interface PeerFetcher {
  add(peer: IntentPeer): void;
  remove(peer: IntentPeer): void;
  /** Handles the offset in a frame of a peer. */
  handlePeerOffset(peer: IntentPeer, offset: number): void;
  close(): void;
}

/** Peers that must confirm the offset before a node starts without the log; after `quorumWaitMs` fewer suffice. */
const MIN_CONFIRMING_PEERS = 3;

/** Creates a fetcher and starts polling. */
export const createPeerFetcher = (options: PeerFetcherOptions): PeerFetcher => {
  const { clock, random, metrics, replica, freshness } = options;
  const peers = new Set<IntentPeer>();
  const fetching = new Set<IntentPeer>();
  const confirmingPeers = new Set<IntentPeer>();
  let firstConfirmationAt: number | undefined;
  let isGapPending = false;
  let closed = false;
  let cancelPoll = (): void => {};

  const offset = (): number => replica.aggregate().offset();

  const recordConfirmation = (peer: IntentPeer): void => {
    confirmingPeers.add(peer);
    firstConfirmationAt ??= clock.monotonic();
  };

  /**
   * Without the log the latest offset isn't known for certain. A starting node accepts the highest
   * offset of its peers, once several have answered or `quorumWaitMs` has passed: a single early
   * answer could come from a node that has long been cut off.
   */
  const checkPeerQuorum = (): void => {
    if (firstConfirmationAt === undefined || freshness.isLogReachable()) return;
    const hasWaited = clock.monotonic() - firstConfirmationAt >= options.quorumWaitMs;
    if (confirmingPeers.size >= MIN_CONFIRMING_PEERS || hasWaited) freshness.catchUpFromPeers();
  };

  const handleAnswer = (peer: IntentPeer, answer: FetchAnswer, requestedAt: number): boolean => {
    options.applyAnswer(answer);
    freshness.recordPeerAnswer();
    freshness.recordPeerOffset(peer, answer.offset);
    if (offset() < answer.offset) return false;
    if (answer.caughtUp) recordConfirmation(peer);
    if (answer.caughtUp && answer.confirmedMsAgo !== undefined) {
      freshness.confirm(requestedAt - answer.confirmedMsAgo);
    }
    checkPeerQuorum();
    return true;
  };

  /** Fetches until this node is level with the peer, or an answer brings no progress. */
  const fetchUntilLevel = async (peer: IntentPeer): Promise<void> => {
    for (let isLevel = false; !isLevel && !closed;) {
      const before = offset();
      const requestedAt = clock.monotonic();
      metrics.count('intent_fetch_sent');
      const answer = await peer.fetch(before);
      if (!answer) metrics.count('intent_fetch_failed');
      if (!answer || closed || !peers.has(peer)) return;
      isLevel = handleAnswer(peer, answer, requestedAt) || offset() === before;
    }
  };

  const fetchFrom = async (peer: IntentPeer): Promise<void> => {
    if (fetching.has(peer) || closed) return;
    fetching.add(peer);
    await fetchUntilLevel(peer);
    fetching.delete(peer);
  };

  const fetchGap = (peer: IntentPeer, peerOffset: number): void => {
    isGapPending = false;
    if (closed || peerOffset <= offset() || !peers.has(peer)) return;
    metrics.count('intent_gap_fetched');
    void fetchFrom(peer);
  };

  const handlePeerOffset = (peer: IntentPeer, peerOffset: number): void => {
    freshness.recordPeerOffset(peer, peerOffset);
    if (!options.detectGaps || peerOffset <= offset() || isGapPending) return;
    metrics.count('intent_gap_noticed');
    isGapPending = true;
    clock.after(options.gapGraceMs, () => fetchGap(peer, peerOffset));
  };

  const randomPeer = (): IntentPeer | undefined => [...peers][Math.floor(random() * peers.size)];

  const needsConfirmation = (): boolean => {
    const { caughtUp, confirmedMsAgo } = freshness.current();
    return !caughtUp || confirmedMsAgo === undefined || confirmedMsAgo > options.pollMs;
  };

  const poll = (): void => {
    if (closed) return;
    const peer = randomPeer();
    if (options.detectGaps && peer && needsConfirmation()) void fetchFrom(peer);
    checkPeerQuorum();
    freshness.reportStateChange();
    cancelPoll = clock.after(options.pollMs * (0.5 + random()), poll);
  };

  cancelPoll = clock.after(options.pollMs * random(), poll);

  return {
    add: (peer) => {
      peers.add(peer);
      if (options.detectGaps && !freshness.current().caughtUp) void fetchFrom(peer);
    },
    remove: (peer) => {
      peers.delete(peer);
      confirmingPeers.delete(peer);
      freshness.removePeer(peer);
    },
    handlePeerOffset,
    close: () => {
      closed = true;
      cancelPoll();
    },
  };
};
