/** Keeps one node's intent up to date from the log and from peers. */

import type { Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { Log, LogRecord } from '@plantaindrum/service-clients';
import type { IntentReader, IntentView } from '../types.js';
import { createIntentWriter } from '../writer/writer.js';
import { createFreshnessTracker } from './freshness.js';
import { startLogFollower } from './log-follower.js';
import { createPeerFetcher } from './peer-fetcher.js';
import type { FetchAnswer, FetchArgs, FetchReply, IntentPeer } from './peers.js';
import { parseFetchArgs } from './peers.js';
import { createIntentReplica } from './replica.js';
import type { CheckpointInfo } from './replica.js';
import { partOf } from '../core/document/snapshot-parts.js';
import { createOffsetWaiters } from './waiters.js';
import type { IntentSnapshot } from '../core/document/aggregate.js';

/** Times and limits of a reader. */
export interface IntentReaderLimits {
  /** Long-poll wait of a log read, in milliseconds. */
  readWaitMs: number;
  /** Longest retry delay while the log is down, in milliseconds. */
  maxRetryDelayMs: number;
  /** Without a confirmation for this long the intent counts as stale, in milliseconds. */
  staleAfterMs: number;
  /** Time for a missing record to arrive from the log before it is fetched from a peer, in milliseconds. */
  gapGraceMs: number;
  /** Mean interval of polling a peer while the log doesn't confirm the offset, in milliseconds. */
  peerPollMs: number;
  /** Time to wait for more peers when a node starts without the log, in milliseconds. */
  peerQuorumWaitMs: number;
  /** Number of recent records kept for peers. */
  historyLimit: number;
  /** Largest number of records in one answer to a peer. */
  maxAnswerRecords: number;
  /** Timeout of a submission, from append to read-back, in milliseconds. */
  submitTimeoutMs: number;
}

/** Default limits, for nodes with a network latency of about a millisecond. */
export const defaultIntentLimits: IntentReaderLimits = {
  readWaitMs: 2_000,
  maxRetryDelayMs: 2_000,
  staleAfterMs: 5_000,
  gapGraceMs: 50,
  peerPollMs: 1_000,
  peerQuorumWaitMs: 1_000,
  historyLimit: 1_024,
  maxAnswerRecords: 256,
  submitTimeoutMs: 8_000,
};

/** Options of `createIntentReader`. */
export interface IntentReaderOptions {
  log: Log;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  logger: Logger;
  limits?: Partial<IntentReaderLimits>;
  /** `peers`: reads the log only while no peer confirms the intent. For agents, as there are many of them. */
  follow?: 'log' | 'peers';
  /** False turns fetching from peers off, to compare runs with and without it. */
  detectGaps?: boolean;
}

/** A reader with its interfaces for peers and for the checkpointer. */
export interface IntentNode extends IntentReader {
  /** Answers a peer's `intent.fetch` call. */
  serveFetch(args: unknown): FetchReply;
  addPeer(peer: IntentPeer): void;
  removePeer(peer: IntentPeer): void;
  /** Handles the offset in a frame of a peer. */
  handlePeerOffset(peer: IntentPeer, offset: number): void;
  snapshot(): IntentSnapshot;
  /** The latest checkpoint found in the log. */
  checkpoint(): CheckpointInfo | undefined;
  /** Wall-clock time of the first change that this node replayed, in milliseconds. */
  firstRecordAt(): number | undefined;
}

/** Starts a reader. */
export const createIntentReader = (options: IntentReaderOptions): IntentNode => {
  const { log, clock, random, metrics, logger } = options;
  const limits = { ...defaultIntentLimits, ...options.limits };
  const listeners = new Set<(view: IntentView) => void>();
  const waiters = createOffsetWaiters(clock);

  const replica = createIntentReplica({
    historyLimit: limits.historyLimit,
    onStep: (step) => metrics.count('intent_record', { step }),
  });
  const offset = (): number => replica.aggregate().offset();
  const view = (): IntentView => replica.aggregate().view();

  const freshness = createFreshnessTracker({
    clock,
    metrics,
    logger,
    staleAfterMs: limits.staleAfterMs,
    offset,
    isScanning: replica.isScanning,
  });

  const notifyIfAdvanced = (before: number): void => {
    if (offset() === before) return;
    waiters.advanceTo(offset());
    listeners.forEach((fn) => fn(view()));
  };

  const applyRecords = (records: LogRecord[]): void => {
    const before = offset();
    replica.applyLogRecords(records);
    notifyIfAdvanced(before);
  };

  const applyAnswer = (answer: FetchAnswer): void => {
    const before = offset();
    replica.applyHandover(answer.handover);
    if (offset() > before) metrics.count('intent_records_from_peers', {}, offset() - before);
    notifyIfAdvanced(before);
  };

  const isConfirmedByPeers = (): boolean => {
    const { caughtUp, behind, confirmedMsAgo } = freshness.current();
    return caughtUp && behind === 0 && (confirmedMsAgo ?? Infinity) <= limits.staleAfterMs;
  };

  const follower = startLogFollower({
    ...{ log, clock, random, metrics, replica, freshness },
    applyRecords,
    readWaitMs: limits.readWaitMs,
    maxRetryDelayMs: limits.maxRetryDelayMs,
    isNeeded: () => options.follow !== 'peers' || !isConfirmedByPeers(),
  });

  const peerFetcher = createPeerFetcher({
    ...{ clock, random, metrics, replica, freshness },
    applyAnswer,
    gapGraceMs: limits.gapGraceMs,
    pollMs: limits.peerPollMs,
    quorumWaitMs: limits.peerQuorumWaitMs,
    detectGaps: options.detectGaps ?? true,
  });

  const handoverTo = ({ after, part }: FetchArgs): FetchReply['handover'] => {
    const handover = replica.handover(after, limits.maxAnswerRecords);
    if (handover.kind === 'records') return handover;
    const { snapshot } = handover;
    // If the snapshot has changed since the first part, its part 0 is sent, and the peer starts over.
    const index = part?.asOf === snapshot.asOf ? part.index : 0;
    return { kind: 'part', part: partOf(snapshot, index) };
  };

  const serveFetch = (args: unknown): FetchReply => {
    const { caughtUp, confirmedMsAgo } = freshness.current();
    return {
      handover: handoverTo(parseFetchArgs(args)),
      offset: offset(),
      caughtUp,
      ...(confirmedMsAgo === undefined ? {} : { confirmedMsAgo }),
    };
  };

  const writer = createIntentWriter({
    ...{ log, clock, random, metrics },
    aggregate: replica.aggregate,
    waitForOffset: waiters.wait,
    retryNow: follower.retryNow,
    submitTimeoutMs: limits.submitTimeoutMs,
  });

  return {
    current: view,
    freshness: freshness.current,
    onChange: (fn) => {
      listeners.add(fn);
      return () => listeners.delete(fn);
    },
    submit: writer.submit,
    ready: () =>
      new Promise((resolve) => {
        freshness.onCaughtUp(resolve);
      }),
    close: async () => {
      follower.close();
      peerFetcher.close();
      waiters.close();
    },
    serveFetch,
    addPeer: peerFetcher.add,
    removePeer: peerFetcher.remove,
    handlePeerOffset: peerFetcher.handlePeerOffset,
    snapshot: () => replica.aggregate().snapshot(),
    checkpoint: replica.checkpoint,
    firstRecordAt: replica.firstRecordAt,
  };
};
