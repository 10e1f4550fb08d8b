/**
 * Keeps the popularity of a group's experts on the platform's store. The coordinator writes it; the
 * agents that may coordinate next read it once when they start.
 */

import type { Clock, EventLog, Metrics } from '@plantaindrum/common';
import type { KeyedTopic } from '@plantaindrum/mirror';
import {
  MAX_RECORD_AGE_MS,
  decodePopularity,
  encodePopularity,
} from '../plan/popularity-record.js';
import type { RecordShape } from '../plan/popularity-record.js';
import type { KeptPopularity, Shares } from '../plan/known-popularity.js';
import { minShift, shareDifference } from '../plan/popularity.js';

/** The platform's store of group records. */
export interface GroupRecords {
  topic: KeyedTopic;
  /** Writes the record of a group; false unless the store has acknowledged it. */
  publish: (group: string, record: Uint8Array) => Promise<boolean>;
}

/** Keeps the popularity of one group. */
export interface PopularityKeeper extends KeptPopularity {
  /** Starts the read if it is due; called regularly. */
  check(): void;
}

/** Options of `createPopularityKeeper`. */
export interface PopularityKeeperOptions {
  group: string;
  /** Shape of the group; undefined while it is not known. */
  shape: () => RecordShape | undefined;
  records: GroupRecords;
  /** Whether records are used for this group. */
  isActive: () => boolean;
  /** Time since the store has last answered this agent, in ms. */
  storeAgeMs: () => number;
  clock: Clock;
  metrics: Metrics;
  log: EventLog;
}

/** Minimum time between two writes, in ms; each is billed. */
const MIN_WRITE_INTERVAL_MS = 5_000;
/** An unchanged record is written again before it counts as old, in ms. */
const REWRITE_AFTER_MS = MAX_RECORD_AGE_MS / 2;
/** Time between two comparisons of the current popularity with the written one, in ms. */
const COMPARE_INTERVAL_MS = 1_000;
/**
 * The store counts as unavailable when it has not answered for this long, in ms: the node registry
 * is read with a wait of 10 s and a pause of 1 s.
 */
const MAX_STORE_AGE_MS = 12_000;
/** First delay before the read is repeated, in ms, doubled each time up to the limit. */
const READ_RETRY_MS = 500;
const MAX_READ_RETRY_MS = 4_000;
/** Maximum number of pages that are read; each group has one key. */
const MAX_PAGES = 10;

type ReadOutcome = { outcome: 'failed' } | { outcome: 'answered'; value: Uint8Array | undefined };

const readRecord = async (topic: KeyedTopic, group: string): Promise<ReadOutcome> => {
  let after: string | undefined;
  for (let pages = 0; pages < MAX_PAGES; pages += 1) {
    const latest = await topic.readLatest(after);
    if (latest.outcome === 'failed') return { outcome: 'failed' };
    const item = latest.items.find(({ key }) => key === group);
    after = latest.items.at(-1)?.key;
    if (item || !latest.hasMore) return { outcome: 'answered', value: item?.value };
  }
  return { outcome: 'answered', value: undefined };
};

/** Creates the keeper; it calls the store only while `isActive` returns true. */
export const createPopularityKeeper = (options: PopularityKeeperOptions): PopularityKeeper => {
  const { group, shape, records, isActive, clock, metrics, log } = options;
  let reading: 'due' | 'pending' | 'done' = 'due';
  let readRetryMs = READ_RETRY_MS;
  let nextReadAt = -Infinity;
  let restored: { shares: Shares; at: number } | undefined;
  let written: { shares: Shares; at: number } | undefined;
  let isWriting = false;
  let nextCompareAt = -Infinity;
  let lastWriteAt = -Infinity;
  let failedAt: number | undefined;

  const ignore = (why: string): void => {
    metrics.count('rank_popularity_ignored', { why });
    log.event('popularity-ignored', { group, why });
  };

  const accept = (value: Uint8Array | undefined, groupShape: RecordShape): void => {
    if (!value) {
      ignore('missing');
      return;
    }
    const read = decodePopularity(value, groupShape, clock.now());
    if (read.outcome === 'ignored') {
      ignore(read.why);
      return;
    }
    const { shares, ageMs } = read;
    restored = { shares, at: clock.monotonic() - ageMs };
    written = restored;
    metrics.count('rank_popularity_read');
    log.event('popularity-read', { group, ageMs, bytes: value.length });
  };

  const read = async (groupShape: RecordShape): Promise<void> => {
    reading = 'pending';
    const outcome = await readRecord(records.topic, group);
    if (outcome.outcome === 'answered') {
      reading = 'done';
      // A record that this process has written meanwhile is newer than the answer.
      if (lastWriteAt === -Infinity) accept(outcome.value, groupShape);
      return;
    }
    reading = 'due';
    nextReadAt = clock.monotonic() + readRetryMs;
    readRetryMs = Math.min(MAX_READ_RETRY_MS, 2 * readRetryMs);
    metrics.count('rank_popularity_read_failed');
  };

  const isStoreAvailable = (): boolean => {
    const age = options.storeAgeMs();
    const hasAnsweredSince = failedAt === undefined || clock.monotonic() - age > failedAt;
    return age < MAX_STORE_AGE_MS && hasAnsweredSince;
  };

  const isOutdated = (shares: Shares, { ranks }: RecordShape): boolean => {
    if (!written || clock.monotonic() - written.at > REWRITE_AFTER_MS) return true;
    // A plan from the old shares is clearly worse when popularity has shifted by more than samples
    // differ at random: below that, the coordinator doesn't change its own map either.
    return shareDifference(written.shares, shares) >= minShift(ranks);
  };

  const write = async (shares: Shares, groupShape: RecordShape): Promise<void> => {
    const record = encodePopularity(groupShape, shares, clock.now());
    if (!record) return;
    isWriting = true;
    lastWriteAt = clock.monotonic();
    const isAcknowledged = await records.publish(group, record);
    isWriting = false;
    failedAt = isAcknowledged ? undefined : clock.monotonic();
    if (isAcknowledged) written = { shares, at: lastWriteAt };
    const outcome = isAcknowledged ? 'acknowledged' : 'failed';
    metrics.count('rank_popularity_writes', { outcome });
    log.event('popularity-written', { group, bytes: record.length, outcome });
  };

  return {
    isActive,
    check: () => {
      const groupShape = shape();
      const isDue = reading === 'due' && clock.monotonic() >= nextReadAt;
      if (isDue && groupShape && isActive()) void read(groupShape);
    },
    shares: () => {
      const isCurrent = restored && clock.monotonic() - restored.at < MAX_RECORD_AGE_MS;
      return isCurrent && isActive() ? restored?.shares : undefined;
    },
    offer: (shares) => {
      const now = clock.monotonic();
      const groupShape = shape();
      if (now < nextCompareAt || !groupShape || !isActive()) return;
      if (isWriting || reading === 'pending') return;
      nextCompareAt = now + COMPARE_INTERVAL_MS;
      if (now - lastWriteAt < MIN_WRITE_INTERVAL_MS || !isStoreAvailable()) return;
      if (isOutdated(shares, groupShape)) void write(shares, groupShape);
    },
  };
};
