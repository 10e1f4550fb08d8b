/** A keyed topic of the platform's log, and what peers tell each other of it. */

import type { KeyedItem, KeyedRecord } from './keyed-mirror.js';

/** Why a call to the platform's log brought nothing. */
export type LogFailure = 'refused' | 'no-answer' | 'malformed';

/**
 * Outcome of reading records. The generation of the log rises each time that it is restored from an older copy;
 * offsets of different generations can't be compared.
 */
export type LogReadOutcome =
  | { outcome: 'records'; records: KeyedRecord[]; end: number; generation: number }
  /** The log doesn't have the records asked for: it has deleted them, or doesn't reach so far. */
  | { outcome: 'expired'; generation: number }
  | { outcome: 'failed'; why: LogFailure };

/** Outcome of reading one page of the newest values. */
export type LogNewestOutcome =
  | { outcome: 'items'; items: KeyedItem[]; hasMore: boolean; end: number; generation: number }
  | { outcome: 'failed'; why: LogFailure };

/** A keyed topic of the platform's log. */
export interface KeyedTopic {
  name: string;
  /** Records from an offset on; waits up to `waitMs` for the first. */
  read(from: number, waitMs: number): Promise<LogReadOutcome>;
  /** Newest values of keys after `after`. */
  newest(after: string | undefined): Promise<LogNewestOutcome>;
}

/** A place in a topic: an offset, and the generation of the log that it is of. */
export interface TopicPlace {
  generation: number;
  offset: number;
}

/** What a peer's mirror holds beyond a place, or all that it holds where that place is of an earlier generation. */
export interface PeerRecords {
  records: KeyedRecord[];
  end: number;
  generation: number;
  /** Milliseconds since that peer's mirror was last confirmed. */
  ageMs: number;
}

/** What a peer passes on when the log has just answered it. */
export interface PeerPush {
  /** The peer's end before that answer; a mirror that ends earlier has a gap. `WHOLE` for all that it holds. */
  after: number;
  records: readonly KeyedRecord[];
  end: number;
  generation: number;
}

/** Stands for the place before all records of a topic. */
export const WHOLE = -1;

/** Records that a peer holds beyond a place; undefined when no peer answered. */
export type AskPeers = (topic: string, after: TopicPlace) => Promise<PeerRecords | undefined>;
