/** Types of a mirror that is kept up to date, and what it needs. */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import type { KeyedMirror } from './keyed-mirror.js';
import type { EncodedPush } from './push-deltas.js';
import type { FetchFromPeers, KeyedTopic, PeerRecords } from './topic.js';

/** Where the mirror got the first snapshot of a log that was restored from an older copy. */
export type RestoreSource = 'log' | 'peer';

/** Options of `followTopic`. */
export interface FollowOptions {
  topic: KeyedTopic;
  mirror: KeyedMirror;
  fetchFromPeers: FetchFromPeers;
  /** Has a node that isn't a peer read the log for this one; undefined if none has answered. */
  fetchRelayed?: (topic: string) => Promise<PeerRecords | undefined>;
  /** Fetches the topic from the agents that mirror it; empty if none has answered. */
  fetchAgentMirrors?: (topic: string) => Promise<PeerRecords[]>;
  /** Whether a peer reads the log and forwards its answers to this node; checked before each read. */
  isDelegated?: () => boolean;
  /** Called after each successful read of the log with what to forward to peers. */
  onLogRead?: (push: EncodedPush) => void;
  /**
   * Whether records are forwarded as deltas to the last ones. For topics whose values are ordered by the log alone: with
   * an order of their own, a peer's value may be a later one than its offset says.
   */
  sendsDeltas?: boolean;
  /** Called when the mirror has switched to a log that was restored from an older copy. */
  onRestored?: (source: RestoreSource) => void;
  /**
   * Time that writers have after a restore to rewrite keys that the log lost, in ms; those not rewritten are then
   * dropped. If unset, they are kept.
   */
  rewriteTimeoutMs?: number;
  /** Long-poll wait of one read, and the pause after each read, in milliseconds. */
  waitMs: number;
  pauseMs: number;
  /** Longest retry delay once the topic has been read, in ms. Default: `MAX_RETRY_DELAY_MS`, as before that read. */
  retryMaxMs?: number;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** A mirror that is kept up to date. */
export interface Follower {
  /** Milliseconds since the log or a peer last confirmed the mirror; Infinity before the first. */
  age(): number;
  /** Milliseconds since the log itself last answered. */
  logAge(): number;
  /** When the log was last reachable again after an outage or a restore (monotonic, ms); -Infinity for never. */
  logBackAt(): number;
  /** Fetches from a peer at once that is known to be ahead. */
  fetchNow(peer: string): void;
  /** Reads a new snapshot if another topic has shown that the log is at a later generation, so has been restored. */
  handleGeneration(generation: number): void;
  /** Applies records that a peer forwards from the log; if some before them are missing, fetches these from it. */
  handlePush(push: EncodedPush, peer?: string): void;
  close(): void;
}
