/**
 * Fetches from peers what the log has not brought.
 *
 * Frames between nodes carry the offset that their sender has replayed. A node that sees a higher
 * one than its own has noticed a gap and fetches it from the history of the peer that showed it:
 * the gap detection and history buffer of Kaashoek, Tanenbaum and Verstoep, "Group Communication
 * in Amoeba and its Applications", with the log in the place of their sequencer.
 */

import type { Clock, Metrics, Random } from '@plantaindrum/common';
import type { FreshnessTracker } from './freshness.js';
import type { FetchAnswer, IntentPeer } from './peers.js';
import type { IntentReplica } from './replica.js';

/** What the asker works on. */
export interface PeerAskerOptions {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  replica: IntentReplica;
  freshness: FreshnessTracker;
  take: (answer: FetchAnswer) => void;
  /** Time that the log gets to bring a record first, in milliseconds. */
  gapGraceMs: number;
  /** Time between questions to one peer while the log brings no confirmation, in milliseconds. */
  pollMs: number;
  /** Time for more peers to be heard before peers alone vouch for the offset, in milliseconds. */
  settleMs: number;
  /** False turns gap detection off, to measure what it brings. */
  detectGaps: boolean;
}

/** Asks peers. */
export interface PeerAsker {
  add(peer: IntentPeer): void;
  remove(peer: IntentPeer): void;
  /** A frame of the peer carried this offset. */
  noticed(peer: IntentPeer, offset: number): void;
  close(): void;
}

/** Peers that must have vouched before a node starts without the log, or all where fewer are linked. */
const VOUCHERS = 3;

/** Creates an asker and starts its rounds. */
export const createPeerAsker = (options: PeerAskerOptions): PeerAsker => {
  const { clock, random, metrics, replica, freshness } = options;
  const peers = new Set<IntentPeer>();
  const asking = new Set<IntentPeer>();
  const vouched = new Set<IntentPeer>();
  let firstVouchAt: number | undefined;
  let graceRuns = false;
  let closed = false;
  let cancelRound = (): void => {};

  const offset = (): number => replica.aggregate().offset();

  const vouch = (peer: IntentPeer): void => {
    vouched.add(peer);
    firstVouchAt ??= clock.monotonic();
  };

  /**
   * Without the log nobody can say for sure which offset is the newest. A starting node takes the
   * highest that its peers show, once several have answered, or all in reach after the settling
   * time: a single early answer could come from a node that has been cut off for long.
   */
  const reviewVouchers = (): void => {
    if (firstVouchAt === undefined || freshness.logIsReached()) return;
    const settled = clock.monotonic() - firstVouchAt >= options.settleMs;
    if (vouched.size >= VOUCHERS || settled) freshness.vouchedByPeers();
  };

  const takeAnswer = (peer: IntentPeer, answer: FetchAnswer, asked: number): boolean => {
    options.take(answer);
    freshness.peerAnswered();
    freshness.peerShowed(peer, answer.offset);
    if (offset() < answer.offset) return false;
    if (answer.caughtUp) vouch(peer);
    if (answer.caughtUp && answer.confirmedMsAgo !== undefined) {
      freshness.confirm(asked - answer.confirmedMsAgo);
    }
    reviewVouchers();
    return true;
  };

  /** Asks until the peer has nothing more; an answer that brings nothing ends it too. */
  const askUntilLevel = async (peer: IntentPeer): Promise<void> => {
    for (let level = false; !level && !closed;) {
      const before = offset();
      const asked = clock.monotonic();
      metrics.count('intent_fetch_sent');
      const answer = await peer.fetch(before);
      if (!answer) metrics.count('intent_fetch_failed');
      if (!answer || closed || !peers.has(peer)) return;
      level = takeAnswer(peer, answer, asked) || offset() === before;
    }
  };

  const ask = async (peer: IntentPeer): Promise<void> => {
    if (asking.has(peer) || closed) return;
    asking.add(peer);
    await askUntilLevel(peer);
    asking.delete(peer);
  };

  const fetchGap = (peer: IntentPeer, shown: number): void => {
    graceRuns = false;
    if (closed || shown <= offset() || !peers.has(peer)) return;
    metrics.count('intent_gap_fetched');
    void ask(peer);
  };

  const noticed = (peer: IntentPeer, shown: number): void => {
    freshness.peerShowed(peer, shown);
    if (!options.detectGaps || shown <= offset() || graceRuns) return;
    metrics.count('intent_gap_noticed');
    graceRuns = true;
    clock.after(options.gapGraceMs, () => fetchGap(peer, shown));
  };

  const pick = (): IntentPeer | undefined => [...peers][Math.floor(random() * peers.size)];

  const wantsNews = (): boolean => {
    const { caughtUp, confirmedMsAgo } = freshness.now();
    return !caughtUp || confirmedMsAgo === undefined || confirmedMsAgo > options.pollMs;
  };

  const round = (): void => {
    if (closed) return;
    const peer = pick();
    if (options.detectGaps && peer && wantsNews()) void ask(peer);
    reviewVouchers();
    freshness.review();
    cancelRound = clock.after(options.pollMs * (0.5 + random()), round);
  };

  cancelRound = clock.after(options.pollMs * random(), round);

  return {
    add: (peer) => {
      peers.add(peer);
      if (options.detectGaps && !freshness.now().caughtUp) void ask(peer);
    },
    remove: (peer) => {
      peers.delete(peer);
      vouched.delete(peer);
      freshness.peerGone(peer);
    },
    noticed,
    close: () => {
      closed = true;
      cancelRound();
    },
  };
};
