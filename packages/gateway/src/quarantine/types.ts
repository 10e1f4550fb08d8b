/** Interface of the quarantine of requests that crash upstreams. */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import type { KeyedChange, RestoreSource } from '@plantaindrum/mirror';
import type { UpstreamStart } from '../types.js';
import type { MonitoredAttempt } from './monitored-attempt.js';
import type { QuarantineUpdate } from './quarantine-update.js';
import type { ConnectionState } from './upstream-attempts.js';

/** Why a request is not sent to an upstream. */
export type QuarantineRefusal =
  | { reason: 'quarantined'; retryAfterMs: number }
  /** A part of its prompt crashes upstreams. */
  | { reason: 'part-quarantined'; parts: readonly string[] }
  /** It is suspect and under trial; the outcome is not known yet. */
  | { reason: 'crash-suspect' };

/** The quarantine of one entry. */
export interface RequestQuarantine {
  /** Returns why a request may not be sent now; undefined if it may. */
  refusal(fingerprint: string, sharedParts?: readonly string[]): QuarantineRefusal | undefined;
  /** Whether the request was in flight in a crash and is not known to have succeeded. */
  isSuspect(fingerprint: string): boolean;
  begin(
    fingerprint: string,
    upstream: UpstreamStart,
    sharedParts?: readonly string[],
    connection?: ConnectionState,
  ): MonitoredAttempt;
  /** Handles the end of an upstream's process; `proof` says how it was established. */
  handleEnd(upstream: UpstreamStart, proof: EndProof): void;
  /** Handles that an upstream accepts connections after attempts there have failed. */
  handleAlive(upstream: UpstreamStart): void;
  /** Handles a quarantine update from a peer, not yet validated. */
  handlePeerUpdate(peer: string, value: unknown): void;
  forgetPeer(peer: string): void;
  /** Returns all evidence, for a peer that is newly linked. */
  fullUpdate(): QuarantineUpdate;
  /** Applies a change of a quarantine record on the platform. */
  applyRecord(change: KeyedChange): void;
  /** Handles a restore of the platform's log from an older copy, which lacks the records in `lost`. */
  handleRestored(lost: readonly string[], source: RestoreSource): void;
  close(): void;
}

/** How the end of an upstream's process was established. */
export type EndProof = 'refused-connection' | 'other-instance' | 'started-again';

/** Options of `createQuarantine`. */
export interface QuarantineOptions {
  /** Node name of this entry. */
  node: string;
  /** Sends an update to all linked entries. */
  broadcast: (update: QuarantineUpdate) => void;
  /** Writes a record under a key, or deletes the key without one; false unless known to have succeeded. */
  publish: (key: string, value: Uint8Array | undefined) => Promise<boolean>;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}
