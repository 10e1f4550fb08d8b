/** What nodes tell each other about the intent, and how an answer is checked. */

import { z } from 'zod';
import { snapshotSchema } from '../core/document/checkpoint.js';
import type { Handover } from './replica.js';

/** Name of the call between nodes that fetches missing records. */
export const FETCH_METHOD = 'intent.fetch';

/** A node's answer to `intent.fetch`: what the asker misses, and how sure the node is itself. */
export interface FetchAnswer {
  handover: Handover;
  /** Offset of the last record that the answering node has replayed. */
  offset: number;
  caughtUp: boolean;
  /** How long ago the answering node's offset was known to be the newest, in milliseconds. */
  confirmedMsAgo?: number;
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
  z.object({ kind: z.literal('snapshot'), snapshot: snapshotSchema, through: z.number().int() }),
]);

const answerSchema = z.object({
  handover: handoverSchema,
  offset: z.number().int(),
  caughtUp: z.boolean(),
  confirmedMsAgo: z.number().optional(),
}) as unknown as z.ZodType<FetchAnswer>;

const argsSchema = z.object({ after: z.number().int().min(-1) });

/** Checks the shape of a peer's answer. */
export const parseFetchAnswer = (value: unknown): FetchAnswer | undefined => {
  const checked = answerSchema.safeParse(value);
  return checked.success ? checked.data : undefined;
};

/** The offset that a caller of `intent.fetch` holds already; everything when it names none. */
export const parseFetchArgs = (args: unknown): number => {
  const checked = argsSchema.safeParse(args);
  return checked.success ? checked.data.after : -1;
};
