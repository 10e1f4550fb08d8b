/** Keeps one node's intent up to date from the log and from peers. */

import type { Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { Log, LogRecord } from '@plantaindrum/service-clients';
import type { IntentReader, IntentView } from '../types.js';
import { createIntentWriter } from '../writer/writer.js';
import { createFreshnessTracker } from './freshness.js';
import { startLogFollower } from './log-follower.js';
import { createPeerAsker } from './peer-asker.js';
import type { FetchAnswer, FetchArgs, FetchReply, IntentPeer } from './peers.js';
import { parseFetchArgs } from './peers.js';
import { createIntentReplica } from './replica.js';
import type { MetCheckpoint } from './replica.js';
import { partOf } from '../core/document/snapshot-parts.js';
import { createOffsetWaiters } from './waiters.js';
import type { IntentSnapshot } from '../core/document/aggregate.js';

/** Times and bounds of a reader. */
export interface IntentReaderLimits {
  /** Long-poll wait of a log read, in milliseconds. */
  readWaitMs: number;
  /** Longest wait between tries while the log is down, in milliseconds. */
  retryMaxMs: number;
  /** Without a confirmation for this long the intent counts as stale, in milliseconds. */
  staleAfterMs: number;
  /** Time that the log gets to bring a record before a gap is fetched from a peer. */
  gapGraceMs: number;
  /** Time between questions to a peer while the log confirms nothing, in milliseconds. */
  peerPollMs: number;
  /** Time for more peers to be heard when a node starts without the log, in milliseconds. */
  peerSettleMs: number;
  /** Records kept for peers. */
  historyLimit: number;
  /** Most records in one answer to a peer. */
  answerRecords: number;
  /** Time for a submission to be read back, in milliseconds. */
  submitMs: number;
}

/** Limits that suit nodes with about a millisecond between them. */
export const defaultIntentLimits: IntentReaderLimits = {
  readWaitMs: 2_000,
  retryMaxMs: 2_000,
  staleAfterMs: 5_000,
  gapGraceMs: 50,
  peerPollMs: 1_000,
  peerSettleMs: 1_000,
  historyLimit: 1_024,
  answerRecords: 256,
  submitMs: 8_000,
};

/** What a reader needs. */
export interface IntentReaderOptions {
  log: Log;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  logger: Logger;
  limits?: Partial<IntentReaderLimits>;
  /** `peers`: the log is read only while no peer confirms the intent; for the many agents. */
  follow?: 'log' | 'peers';
  /** False turns the fetching of gaps from peers off, to measure what it brings. */
  detectGaps?: boolean;
}

/** A reader with its side towards peers and towards the checkpointer. */
export interface IntentNode extends IntentReader {
  /** Answers `intent.fetch` of a peer. */
  serveFetch(args: unknown): FetchReply;
  addPeer(peer: IntentPeer): void;
  removePeer(peer: IntentPeer): void;
  /** A frame of the peer carried this offset. */
  noticeOffset(peer: IntentPeer, offset: number): void;
  snapshot(): IntentSnapshot;
  /** The newest checkpoint met in the log. */
  checkpoint(): MetCheckpoint | undefined;
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
    scanning: replica.scanning,
  });

  const tellIfMoved = (before: number): void => {
    if (offset() === before) return;
    waiters.reached(offset());
    listeners.forEach((fn) => fn(view()));
  };

  const takeRecords = (records: LogRecord[]): void => {
    const before = offset();
    replica.takeFromLog(records);
    tellIfMoved(before);
  };

  const takeAnswer = (answer: FetchAnswer): void => {
    const before = offset();
    replica.takeFromPeer(answer.handover);
    if (offset() > before) metrics.count('intent_records_from_peers', {}, offset() - before);
    tellIfMoved(before);
  };

  const confirmedByPeers = (): boolean => {
    const { caughtUp, behind, confirmedMsAgo } = freshness.now();
    return caughtUp && behind === 0 && (confirmedMsAgo ?? Infinity) <= limits.staleAfterMs;
  };

  const follower = startLogFollower({
    ...{ log, clock, random, metrics, replica, freshness },
    take: takeRecords,
    readWaitMs: limits.readWaitMs,
    retryMaxMs: limits.retryMaxMs,
    isNeeded: () => options.follow !== 'peers' || !confirmedByPeers(),
  });

  const asker = createPeerAsker({
    ...{ clock, random, metrics, replica, freshness },
    take: takeAnswer,
    gapGraceMs: limits.gapGraceMs,
    pollMs: limits.peerPollMs,
    settleMs: limits.peerSettleMs,
    detectGaps: options.detectGaps ?? true,
  });

  const handoverTo = ({ after, part }: FetchArgs): FetchReply['handover'] => {
    const handover = replica.handover(after, limits.answerRecords);
    if (handover.kind === 'records') return handover;
    const { snapshot } = handover;
    // Of a state that has moved on meanwhile only the first part makes sense; the asker notices.
    const index = part?.asOf === snapshot.asOf ? part.index : 0;
    return { kind: 'part', part: partOf(snapshot, index) };
  };

  const serveFetch = (args: unknown): FetchReply => {
    const { caughtUp, confirmedMsAgo } = freshness.now();
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
    reached: waiters.wait,
    wake: follower.wake,
    submitMs: limits.submitMs,
  });

  return {
    current: view,
    freshness: freshness.now,
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
      asker.close();
      waiters.close();
    },
    serveFetch,
    addPeer: asker.add,
    removePeer: asker.remove,
    noticeOffset: asker.noticed,
    snapshot: () => replica.aggregate().snapshot(),
    checkpoint: replica.checkpoint,
    firstRecordAt: replica.firstRecordAt,
  };
};
