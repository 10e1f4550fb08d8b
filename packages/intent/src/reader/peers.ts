/** The call with which nodes fetch intent from each other, and validation of its messages. */

import { z } from 'zod';
import { partSchema } from '../core/document/checkpoint.js';
import type { Handover } from './replica.js';
import type { PartId, SnapshotPart } from '../core/document/snapshot-parts.js';
import { joinParts } from '../core/document/snapshot-parts.js';

/** Name of the call between nodes that fetches missing records. */
export const FETCH_METHOD = 'intent.fetch';

/** How current a node's intent is. */
interface PeerFreshness {
  /** Offset of the last record that the answering node has replayed. */
  offset: number;
  caughtUp: boolean;
  /** How long ago the answering node's offset was last confirmed as the latest, in milliseconds. */
  confirmedMsAgo?: number;
}

/** A peer's complete answer: what the requesting node lacks, and how current the peer itself is. */
export interface FetchAnswer extends PeerFreshness {
  handover: Handover;
}

/** One reply to `intent.fetch`; a snapshot is sent in parts. */
export interface FetchReply extends PeerFreshness {
  handover: Exclude<Handover, { kind: 'snapshot' }> | { kind: 'part'; part: SnapshotPart };
}

/** Arguments of `intent.fetch`. */
export interface FetchArgs {
  /** Offset of the last record that the requesting node has replayed. */
  after: number;
  /** The next part of a snapshot whose first part has been received. */
  part?: PartId;
}

/** Another node from which intent can be fetched. */
export interface IntentPeer {
  readonly name: string;
  /** Fetches what follows offset `after`; undefined without a valid answer. */
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

const FETCH_EVERYTHING: FetchArgs = { after: -1 };

/** Parses a reply to `intent.fetch`; undefined if it is malformed. */
export const parseFetchReply = (value: unknown): FetchReply | undefined => {
  const checked = replySchema.safeParse(value);
  return checked.success ? checked.data : undefined;
};

/** Parses the arguments of `intent.fetch`; invalid ones count as a request for everything. */
export const parseFetchArgs = (args: unknown): FetchArgs => {
  const checked = argsSchema.safeParse(args);
  return checked.success ? checked.data : FETCH_EVERYTHING;
};

/** Requests parts until the answer is complete; undefined if a reply was lost or the state changed in between. */
export const fetchFullAnswer = async (
  request: (args: FetchArgs) => Promise<FetchReply | undefined>,
  after: number,
): Promise<FetchAnswer | undefined> => {
  const first = await request({ after });
  if (!first) return undefined;
  const { handover, ...freshness } = first;
  if (handover.kind === 'records') return { ...freshness, handover };
  const { asOf, count } = handover.part;
  const parts = [handover.part];
  while (parts.length < count) {
    const next = await request({ after, part: { asOf, index: parts.length } });
    if (next?.handover.kind !== 'part') return undefined;
    parts.push(next.handover.part);
  }
  const snapshot = joinParts(parts);
  return snapshot && { ...freshness, handover: { kind: 'snapshot', snapshot } };
};
