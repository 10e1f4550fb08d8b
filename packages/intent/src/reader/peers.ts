/** What nodes tell each other about the intent, and how an answer is checked. */

import { z } from 'zod';
import { partSchema } from '../core/document/checkpoint.js';
import type { Handover } from './replica.js';
import type { PartName, SnapshotPart } from '../core/document/snapshot-parts.js';
import { joinParts } from '../core/document/snapshot-parts.js';

/** Name of the call between nodes that fetches missing records. */
export const FETCH_METHOD = 'intent.fetch';

/** How sure a node is of its intent. */
interface Standing {
  /** Offset of the last record that the answering node has replayed. */
  offset: number;
  caughtUp: boolean;
  /** How long ago the answering node's offset was known to be the newest, in milliseconds. */
  confirmedMsAgo?: number;
}

/** A peer's whole answer: what the asker misses, and how sure the peer is itself. */
export interface FetchAnswer extends Standing {
  handover: Handover;
}

/** One reply to `intent.fetch`; a state comes in parts. */
export interface FetchReply extends Standing {
  handover: Exclude<Handover, { kind: 'snapshot' }> | { kind: 'part'; part: SnapshotPart };
}

/** Arguments of `intent.fetch`. */
export interface FetchArgs {
  /** Offset of the last record that the asker has replayed. */
  after: number;
  /** The next part of a state whose first part has come. */
  part?: PartName;
}

/** Another node, as far as intent goes. */
export interface IntentPeer {
  readonly name: string;
  /** Asks for what follows offset `after`; undefined when no sound answer came. */
  fetch(after: number): Promise<FetchAnswer | undefined>;
}

const recordsSchema = z.array(z.object({ offset: z.number().int(), value: z.unknown() }));

const handoverSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('records'), records: recordsSchema, through: z.number().int() }),
  z.object({ kind: z.literal('part'), part: partSchema }),
]);

const replySchema = z.object({
  handover: handoverSchema,
  offset: z.number().int(),
  caughtUp: z.boolean(),
  confirmedMsAgo: z.number().optional(),
}) as unknown as z.ZodType<FetchReply>;

const argsSchema = z.object({
  after: z.number().int().min(-1),
  part: z.object({ asOf: z.number().int(), index: z.number().int().min(0) }).optional(),
});

const NOTHING_HELD: FetchArgs = { after: -1 };

/** Checks the shape of a peer's reply. */
export const parseFetchReply = (value: unknown): FetchReply | undefined => {
  const checked = replySchema.safeParse(value);
  return checked.success ? checked.data : undefined;
};

/** What a caller of `intent.fetch` holds already and wants; everything when it names nothing. */
export const parseFetchArgs = (args: unknown): FetchArgs => {
  const checked = argsSchema.safeParse(args);
  return checked.success ? checked.data : NOTHING_HELD;
};

/** Asks a peer until its answer is whole; undefined when a reply was lost or the state moved. */
export const fetchWhole = async (
  ask: (args: FetchArgs) => Promise<FetchReply | undefined>,
  after: number,
): Promise<FetchAnswer | undefined> => {
  const first = await ask({ after });
  if (!first) return undefined;
  const { handover, ...standing } = first;
  if (handover.kind === 'records') return { ...standing, handover };
  const { asOf, count } = handover.part;
  const parts = [handover.part];
  while (parts.length < count) {
    const next = await ask({ after, part: { asOf, index: parts.length } });
    if (next?.handover.kind !== 'part') return undefined;
    parts.push(next.handover.part);
  }
  const snapshot = joinParts(parts);
  return snapshot && { ...standing, handover: { kind: 'snapshot', snapshot } };
};
