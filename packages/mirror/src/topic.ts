/** A keyed topic of the platform's log, and the messages with which peers share its records. */

import type { KeyedItem, KeyedRecord } from './keyed-mirror.js';

/** Why a call to the platform's log failed. */
export type LogFailure = 'refused' | 'no-answer' | 'malformed';

/**
 * Outcome of reading records. The generation of the log rises each time the log is restored from an older copy;
 * offsets of different generations can't be compared.
 */
export type LogReadOutcome =
  | { outcome: 'records'; records: KeyedRecord[]; end: number; generation: number }
  /** The log doesn't hold the requested offset: the records there were deleted, or the log ends before it. */
  | { outcome: 'expired'; generation: number }
  | { outcome: 'failed'; why: LogFailure };

/** Outcome of reading one page of the latest values. */
export type LogLatestOutcome =
  | { outcome: 'items'; items: KeyedItem[]; hasMore: boolean; end: number; generation: number }
  | { outcome: 'failed'; why: LogFailure };

/** A keyed topic of the platform's log. */
export interface KeyedTopic {
  name: string;
  /** Reads records from an offset on; waits up to `waitMs` for the first. */
  read(from: number, waitMs: number): Promise<LogReadOutcome>;
  /** Reads a page of latest values, of the keys that follow the key `after`. */
  readLatest(after: string | undefined): Promise<LogLatestOutcome>;
}

/** A position in a topic: an offset, and the generation of the log that it belongs to. */
export interface TopicPosition {
  generation: number;
  offset: number;
}

/** What a peer's mirror holds after a position, or all that it holds if that position is of an earlier generation. */
export interface PeerRecords {
  records: KeyedRecord[];
  end: number;
  generation: number;
  /** Milliseconds since that peer's mirror was last confirmed. */
  ageMs: number;
  /** Whether `records` are the full topic as of `end`: a key that they lack was deleted, or lost in a restore. */
  isFull?: boolean;
}

/** What a peer forwards after each of its reads of the log. */
export interface PeerPush {
  /** The peer's end before that read; a mirror that ends earlier has a gap. `TOPIC_START` if `records` are the full topic. */
  after: number;
  records: readonly KeyedRecord[];
  end: number;
  generation: number;
}

/** Stands for the offset before all records of a topic. */
export const TOPIC_START = -1;

/**
 * Fetches the records that a peer holds after a position, from the named peer if it is linked, or else from any;
 * undefined if it has not answered.
 */
export type FetchFromPeers = (
  topic: string,
  after: TopicPosition,
  peer?: string,
) => Promise<PeerRecords | undefined>;
