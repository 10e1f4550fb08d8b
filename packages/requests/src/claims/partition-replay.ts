import type { Clock, Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import type { Log, LogFailure } from '@plantaindrum/service-clients';
import type { KeyTable } from './key-table.js';
import { createKeyTable } from './key-table.js';
import { CLAIMS_TOPIC, parseClaimRecord } from './records.js';

/** One partition of the claims, replayed as far as somebody has asked for. */
export interface PartitionReplay {
  table: KeyTable;
  /** Replays up to and including `offset`. */
  catchUpTo(offset: number): Promise<Result<void, LogFailure>>;
  /** Replays everything that the log holds now. */
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

/** How long a read waits for a record that is known to exist, in milliseconds. */
const READ_WAIT_MS = 250;

/** A record that so many reads didn't bring is given up on. */
const MOST_EMPTY_STEPS = 8;
const MISSING_RECORD: LogFailure = { kind: 'unknown', retryAfterMs: 1_000 };

/**
 * Creates the replay of one partition. It reads only when asked, from where it stopped: a fleet of
 * agents that all followed all claims would spend its network budget on calls it never sees.
 */
export const createPartitionReplay = (options: PartitionReplayOptions): PartitionReplay => {
  const { clock, log, partition, retentionMs } = options;
  const table = createKeyTable();
  let position: number | undefined;
  let reading: Promise<Result<void, LogFailure>> | undefined;

  const begin = async (): Promise<Result<void, LogFailure>> => {
    const offsets = await log.offsets(CLAIMS_TOPIC, partition);
    if (!offsets.ok) return fail(offsets.err);
    table.clear();
    position = offsets.value.beginning;
    return ok(undefined);
  };

  const readOn = async (from: number): Promise<Result<void, LogFailure>> => {
    const records = await log.read(CLAIMS_TOPIC, partition, from, READ_WAIT_MS);
    if (!records.ok && records.err.kind === 'out-of-range') {
      // This agent slept past the retention: claims in the gap are unknown to it, so that its table
      // would take a later claim for the first. It begins again from what the log still holds.
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

  /** One step; concurrent callers share it. */
  const step = async (): Promise<Result<void, LogFailure>> => {
    reading ??= (position === undefined ? begin() : readOn(position)).finally(() => {
      reading = undefined;
    });
    return reading;
  };

  const catchUpTo = async (offset: number): Promise<Result<void, LogFailure>> => {
    let emptySteps = 0;
    while (position === undefined || position <= offset) {
      const before = position;
      const result = await step();
      if (!result.ok) return result;
      emptySteps = position === before ? emptySteps + 1 : 0;
      if (emptySteps >= MOST_EMPTY_STEPS) return fail(MISSING_RECORD);
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
