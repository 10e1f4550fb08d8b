import type { Result } from '@plantaindrum/common';

/** One record read from a partition. */
export interface LogRecord {
  offset: number;
  value: unknown;
}

/** The range of offsets that a partition holds. */
export interface LogOffsets {
  /** Offset of the oldest retained record. */
  beginning: number;
  /** Offset of the next record to be appended. */
  end: number;
}

/**
 * Why a call to the log failed.
 * - `unavailable`, `throttled`: the log refused the call; it had no effect.
 * - `unknown`: the response was lost; an append may have taken effect, at most once.
 * - `out-of-range`: the offset is below the oldest record or above the end.
 */
export interface LogFailure {
  kind: 'unavailable' | 'throttled' | 'unknown' | 'out-of-range';
  /** Delay before a retry, in milliseconds. */
  retryAfterMs: number;
}

/** The platform's append-only log. Failures are returned as values; no method rejects. */
export interface Log {
  /** Appends values to a partition in order; returns their offsets. */
  append(
    topic: string,
    partition: number,
    values: readonly unknown[],
  ): Promise<Result<number[], LogFailure>>;
  /** Reads from `offset` on; returns no records if none arrives within `waitMs`. */
  read(
    topic: string,
    partition: number,
    offset: number,
    waitMs: number,
  ): Promise<Result<LogRecord[], LogFailure>>;
  /** Returns the range of offsets that a partition holds. */
  offsets(topic: string, partition: number): Promise<Result<LogOffsets, LogFailure>>;
}
