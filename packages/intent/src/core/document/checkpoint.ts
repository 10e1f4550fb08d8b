/** Checkpoint records: the state as of an offset, for readers that retention left behind. */

import { z } from 'zod';
import type { IntentSnapshot } from './aggregate.js';

/**
 * A record of the intent topic that holds the state as of `snapshot.asOf`, which is always lower
 * than the record's own offset. Records between the two are not in it, so a reader that starts
 * from it replays them too. Hence a checkpoint that lands late, after a newer change, can't undo
 * that change; and one whose following records are partly gone can't be started from.
 */
export interface CheckpointRecord {
  kind: 'checkpoint';
  id: string;
  /** Wall-clock time of the append, in milliseconds. */
  at: number;
  snapshot: IntentSnapshot;
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

/** Shape of a snapshot from the log or a peer. */
export const snapshotSchema = z.object({
  asOf: z.number().int().min(-1),
  values: z.array(z.tuple([z.string(), z.unknown()])),
  versions: z.array(z.tuple([z.string(), z.number().int()])),
  recent: z.array(recentSchema),
});

const checkpointSchema = z.object({
  kind: z.literal('checkpoint'),
  id: z.string(),
  at: z.number(),
  snapshot: snapshotSchema,
}) as unknown as z.ZodType<CheckpointRecord>;

/** Stands for a checkpoint in the history for peers, which need only know that it is there. */
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

/** The checkpoint in a record's value, if it is a sound one. */
export const parseCheckpoint = (value: unknown): CheckpointRecord | undefined => {
  if (kindOf(value) !== 'checkpoint') return undefined;
  const checked = checkpointSchema.safeParse(value);
  return checked.success ? checked.data : undefined;
};

/** What a record says about checkpoints in the log. */
export const markOf = (value: unknown): CheckpointMark | undefined => {
  if (kindOf(value) === 'checkpoint-mark') return markSchema.safeParse(value).data;
  const checkpoint = parseCheckpoint(value);
  if (!checkpoint) return undefined;
  return { kind: 'checkpoint-mark', asOf: checkpoint.snapshot.asOf, at: checkpoint.at };
};
