/** Checkpoint records: the state as of an offset, for readers that need records which retention has deleted. */

import { z } from 'zod';
import type { LogRecord } from '@plantaindrum/service-clients';
import type { IntentSnapshot } from './aggregate.js';
import type { SnapshotPart } from './snapshot-parts.js';
import { joinParts, partsOf } from './snapshot-parts.js';

/**
 * A record of the intent topic with one part of the state as of `part.asOf`, which is always lower
 * than the record's own offset. The parts of one id form a checkpoint once the last is in the log.
 * It doesn't include the records between `asOf` and itself, so a reader that starts from it replays
 * those too. Hence a checkpoint that is appended after a newer change can't undo that change, and
 * one whose following records have been deleted in part can't be used.
 */
export interface CheckpointRecord {
  kind: 'checkpoint';
  id: string;
  /** Wall-clock time of the append, in milliseconds. */
  at: number;
  part: SnapshotPart;
}

const recentSchema = z.object({
  id: z.string(),
  offset: z.number().int(),
  author: z.string(),
  digest: z.string(),
  outcome: z.enum(['accepted', 'conflict', 'invalid']),
  conflicts: z.array(z.unknown()).optional(),
  faults: z.array(z.string()).optional(),
});

/** Schema of a snapshot from the log or a peer. */
export const snapshotSchema = z.object({
  asOf: z.number().int().min(-1),
  values: z.array(z.tuple([z.string(), z.unknown()])),
  versions: z.array(z.tuple([z.string(), z.number().int()])),
  recent: z.array(recentSchema),
});

/** Largest number of parts that a node accepts: two million keys. */
const MAX_PARTS = 1_000;

/** Schema of one part of a snapshot. */
export const partSchema = snapshotSchema.extend({
  index: z.number().int().min(0),
  count: z.number().int().min(1).max(MAX_PARTS),
}) as unknown as z.ZodType<SnapshotPart>;

const checkpointSchema = z.object({
  kind: z.literal('checkpoint'),
  id: z.string(),
  at: z.number(),
  part: partSchema,
});

/** Stands for a complete checkpoint in the history for peers, which need only know that it exists. */
export interface CheckpointMark {
  kind: 'checkpoint-mark';
  asOf: number;
  at: number;
}

const markSchema = z.object({
  kind: z.literal('checkpoint-mark'),
  asOf: z.number().int(),
  at: z.number(),
});

const kindOf = (value: unknown): unknown => (value as { kind?: unknown } | null)?.kind;

/** Whether a record's value claims to be a part of a checkpoint. */
export const isCheckpoint = (value: unknown): boolean => kindOf(value) === 'checkpoint';

/** Parses the mark of a checkpoint in a record from a peer's history. */
export const parseMark = (value: unknown): CheckpointMark | undefined =>
  kindOf(value) === 'checkpoint-mark' ? markSchema.safeParse(value).data : undefined;

/** Creates the records of a checkpoint, to be appended in this order. */
export const checkpointRecords = (
  snapshot: IntentSnapshot,
  { id, at }: { id: string; at: number },
  partKeys?: number,
): CheckpointRecord[] =>
  partsOf(snapshot, partKeys).map((part) => ({ kind: 'checkpoint', id, at, part }));

/** A checkpoint whose parts are all in the log. */
export interface CompleteCheckpoint {
  at: number;
  snapshot: IntentSnapshot;
}

/** Assembles checkpoints from their records. */
export interface CheckpointCollector {
  /** Adds a record; returns the checkpoint if this record completes it. */
  add(record: LogRecord): CompleteCheckpoint | undefined;
}

/** Limit on incomplete checkpoints: a writer that crashed leaves parts behind that are never completed. */
const MAX_PENDING_CHECKPOINTS = 4;

/** Creates an empty collector. */
export const createCheckpointCollector = (): CheckpointCollector => {
  const pending = new Map<string, SnapshotPart[]>();

  const partsOfId = (id: string): SnapshotPart[] => {
    const parts = pending.get(id) ?? [];
    pending.set(id, parts);
    const [oldest] = pending.keys();
    if (pending.size > MAX_PENDING_CHECKPOINTS && oldest !== undefined) pending.delete(oldest);
    return parts;
  };

  return {
    add: ({ offset, value }) => {
      if (!isCheckpoint(value)) return undefined;
      const checked = checkpointSchema.safeParse(value);
      if (!checked.success || checked.data.part.asOf >= offset) return undefined;
      const { id, at, part } = checked.data;
      const parts = partsOfId(id);
      // Skips a part that was appended twice, as by a retry.
      if (part.index === parts.length) parts.push(part);
      if (parts.length < part.count) return undefined;
      pending.delete(id);
      const snapshot = joinParts(parts);
      return snapshot && { at, snapshot };
    },
  };
};
