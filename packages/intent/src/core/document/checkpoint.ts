/** Checkpoint records: the state as of an offset, for readers that retention left behind. */

import { z } from 'zod';
import type { LogRecord } from '@plantaindrum/service-clients';
import type { IntentSnapshot } from './aggregate.js';
import type { SnapshotPart } from './snapshot-parts.js';
import { joinParts, partsOf } from './snapshot-parts.js';

/**
 * A record of the intent topic with one part of the state as of `part.asOf`, which is always lower
 * than the record's own offset. The parts of one id make a checkpoint once the last has landed.
 * Records in between are not in it, so a reader that starts from it replays them too. Hence a
 * checkpoint that lands late, after a newer change, can't undo that change; and one whose following
 * records are partly gone can't be started from.
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

/** Shape of a snapshot from the log or a peer. */
export const snapshotSchema = z.object({
  asOf: z.number().int().min(-1),
  values: z.array(z.tuple([z.string(), z.unknown()])),
  versions: z.array(z.tuple([z.string(), z.number().int()])),
  recent: z.array(recentSchema),
});

/** Parts of the largest state that a node takes: two million keys. */
const MOST_PARTS = 1_000;

/** Shape of one part of a snapshot. */
export const partSchema = snapshotSchema.extend({
  index: z.number().int().min(0),
  count: z.number().int().min(1).max(MOST_PARTS),
}) as unknown as z.ZodType<SnapshotPart>;

const checkpointSchema = z.object({
  kind: z.literal('checkpoint'),
  id: z.string(),
  at: z.number(),
  part: partSchema,
});

/** Stands for a whole checkpoint in the history for peers, which need only know that it is there. */
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

/** The mark of a checkpoint in a record from a peer's history. */
export const parseMark = (value: unknown): CheckpointMark | undefined =>
  kindOf(value) === 'checkpoint-mark' ? markSchema.safeParse(value).data : undefined;

/** The records of a checkpoint, to be appended in this order. */
export const checkpointRecords = (
  snapshot: IntentSnapshot,
  { id, at }: { id: string; at: number },
  partKeys?: number,
): CheckpointRecord[] =>
  partsOf(snapshot, partKeys).map((part) => ({ kind: 'checkpoint', id, at, part }));

/** A checkpoint whose parts have all landed. */
export interface WholeCheckpoint {
  at: number;
  snapshot: IntentSnapshot;
}

/** Puts checkpoints together from their records. */
export interface CheckpointCollector {
  /** Takes a record; the checkpoint when this record made it whole. */
  take(record: LogRecord): WholeCheckpoint | undefined;
}

/** Checkpoints under way at once; a writer that died leaves parts behind that nobody completes. */
const MOST_UNDER_WAY = 4;

/** Creates a collector that has met no record yet. */
export const createCheckpointCollector = (): CheckpointCollector => {
  const underWay = new Map<string, SnapshotPart[]>();

  const partsOfId = (id: string): SnapshotPart[] => {
    const parts = underWay.get(id) ?? [];
    underWay.set(id, parts);
    const [oldest] = underWay.keys();
    if (underWay.size > MOST_UNDER_WAY && oldest !== undefined) underWay.delete(oldest);
    return parts;
  };

  return {
    take: ({ offset, value }) => {
      if (!isCheckpoint(value)) return undefined;
      const checked = checkpointSchema.safeParse(value);
      if (!checked.success || checked.data.part.asOf >= offset) return undefined;
      const { id, at, part } = checked.data;
      const parts = partsOfId(id);
      // On its way to the log an append may be doubled.
      if (part.index === parts.length) parts.push(part);
      if (parts.length < part.count) return undefined;
      underWay.delete(id);
      const snapshot = joinParts(parts);
      return snapshot && { at, snapshot };
    },
  };
};
