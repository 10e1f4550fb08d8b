import type { Result } from '@plantaindrum/common';

/** One record of a partition, as it was read. */
export interface LogRecord {
  offset: number;
  value: unknown;
}

/** The range of offsets that a partition holds. */
export interface LogOffsets {
  /** Offset of the oldest record that is still kept. */
  beginning: number;
  /** Offset that the next record will get. */
  end: number;
}

/**
 * Why a call to the log failed.
 * - `unavailable`, `throttled`: the log said no before any effect.
 * - `unknown`: the answer was lost; an append may have taken effect, once.
 * - `out-of-range`: the offset is below the oldest record or above the end.
 */
export interface LogFailure {
  kind: 'unavailable' | 'throttled' | 'unknown' | 'out-of-range';
  /** When a further try makes sense, in milliseconds from now. */
  retryAfterMs: number;
}

/** The platform's append-only log; every failure is a value, nothing rejects. */
export interface Log {
  /** Appends values to a partition in order; answers their offsets. */
  append(
    topic: string,
    partition: number,
    values: readonly unknown[],
  ): Promise<Result<number[], LogFailure>>;
  /** Reads from `offset` on; waits up to `waitMs` for the first record, then answers none. */
  read(
    topic: string,
    partition: number,
    offset: number,
    waitMs: number,
  ): Promise<Result<LogRecord[], LogFailure>>;
  offsets(topic: string, partition: number): Promise<Result<LogOffsets, LogFailure>>;
}
