import type { Clock, Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { Log, LogFailure } from '@plantaindrum/service-clients';
import type { KeyTable } from './key-table.js';
import { createKeyTable } from './key-table.js';
import { CLAIMS_TOPIC, parseClaimRecord } from './records.js';

/** Replay of one partition of the claims, on demand. */
export interface PartitionReplay {
  /** Claims as of the replayed offset. */
  table: KeyTable;
  /** Replays up to and including `offset`. */
  catchUpTo(offset: number): Promise<Result<void, LogFailure>>;
  /** Replays up to the current end of the log. */
  catchUp(): Promise<Result<void, LogFailure>>;
}

/** Settings of a replay. */
export interface PartitionReplayOptions {
  clock: Clock;
  log: Log;
  partition: number;
  /** How long the log keeps records, in milliseconds. */
  retentionMs: number;
}

/** Wait of a read for a record that is known to exist, in milliseconds. */
const READ_WAIT_MS = 250;

/** A record is considered missing after this many reads without progress. */
const MAX_EMPTY_READS = 8;
const MISSING_RECORD: LogFailure = { kind: 'unknown', retryAfterMs: 1_000 };

/**
 * Creates the replay of one partition. It reads on demand, from where the last read stopped. If all
 * agents followed all claims, they would use up their network budget on calls of other agents.
 */
export const createPartitionReplay = (options: PartitionReplayOptions): PartitionReplay => {
  const { clock, log, partition, retentionMs } = options;
  const table = createKeyTable();
  let position: number | undefined;
  let reading: Promise<Result<void, LogFailure>> | undefined;

  const seekToBeginning = async (): Promise<Result<void, LogFailure>> => {
    const offsets = await log.offsets(CLAIMS_TOPIC, partition);
    if (!offsets.ok) return fail(offsets.err);
    table.clear();
    position = offsets.value.beginning;
    return ok(undefined);
  };

  const readFrom = async (from: number): Promise<Result<void, LogFailure>> => {
    const records = await log.read(CLAIMS_TOPIC, partition, from, READ_WAIT_MS);
    if (!records.ok && records.err.kind === 'out-of-range') {
      // This agent was suspended for longer than the retention. Its table lacks the claims in the
      // gap and would take a later claim for the first, so it starts again from the beginning of
      // the log.
      position = undefined;
      return ok(undefined);
    }
    if (!records.ok) return fail(records.err);
    const now = clock.monotonic();
    records.value.forEach(({ offset, value }) => {
      const record = parseClaimRecord(value);
      if (record) table.apply(record, now);
      position = offset + 1;
    });
    table.prune(now - retentionMs);
    return ok(undefined);
  };

  /** Reads once; concurrent callers share the read. */
  const readNext = async (): Promise<Result<void, LogFailure>> => {
    reading ??= (position === undefined ? seekToBeginning() : readFrom(position)).finally(() => {
      reading = undefined;
    });
    return reading;
  };

  const catchUpTo = async (offset: number): Promise<Result<void, LogFailure>> => {
    let emptyReads = 0;
    while (position === undefined || position <= offset) {
      const before = position;
      const result = await readNext();
      if (!result.ok) return result;
      emptyReads = position === before ? emptyReads + 1 : 0;
      if (emptyReads >= MAX_EMPTY_READS) return fail(MISSING_RECORD);
    }
    return ok(undefined);
  };

  return {
    table,
    catchUpTo,
    catchUp: async () => {
      const offsets = await log.offsets(CLAIMS_TOPIC, partition);
      return offsets.ok ? catchUpTo(offsets.value.end - 1) : fail(offsets.err);
    },
  };
};
