import { z } from 'zod';

/** A class of work with its target. */
export const classSchema = z.strictObject({
  /** Target: longest time to the answer (for streams, to the first token), in milliseconds. */
  latestAnswerMs: z.number().int().positive(),
  /** The share of requests to be served within the target, 0 to 1. */
  share: z.number().min(0).max(1).default(0.95),
  /** Priority lane; `live` is served before the others. */
  priority: z.enum(['live', 'normal', 'background']).default('normal'),
  /** Requests of this class are never dispatched twice. */
  mayNotRepeat: z.boolean().default(false),
});

/** An organisation, identified by the SHA-256 hashes (hex) of its API keys. */
export const organisationSchema = z.strictObject({
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
  /** The class of requests that don't name one. */
  defaultClass: z.string().optional(),
});

/** A route from a path prefix of the caller server to a plain service. */
export const routeSchema = z.strictObject({
  pathPrefix: z.string().startsWith('/'),
  service: z.string(),
  class: z.string(),
});

/** What takes precedence when expert groups are balanced. */
export const balanceSchema = z.strictObject({
  weighs: z.enum(['skew', 'rebalancing-cost']).default('skew'),
});

/** Whether a data centre serves or is being stopped. */
export const dataCentreSchema = z.strictObject({
  state: z.enum(['serving', 'stopped']).default('serving'),
});

/** The operators' intent: everything that they can declare, with defaults. */
export const intentDocumentSchema = z.strictObject({
  classes: z.record(z.string(), classSchema).default({}),
  organisations: z.record(z.string(), organisationSchema).default({}),
  routes: z.record(z.string(), routeSchema).default({}),
  balance: z.record(z.string(), balanceSchema).default({}),
  dataCentres: z.record(z.string(), dataCentreSchema).default({}),
});

/** The validated intent document. */
export type IntentDocument = z.infer<typeof intentDocumentSchema>;
/** A validated class. */
export type ClassIntent = z.infer<typeof classSchema>;
/** A validated organisation. */
export type OrganisationIntent = z.infer<typeof organisationSchema>;
/** A validated route. */
export type RouteIntent = z.infer<typeof routeSchema>;

/** A key of the document: section and name, for example `classes/live-sale`. */
export type IntentKey = `${keyof IntentDocument}/${string}`;

/** A change of one key; `base` is the version (offset) that it was made from, -1 for a new key. */
export interface IntentChange {
  key: IntentKey;
  base: number;
  /** The new value, or null to remove the key. */
  value: unknown;
}

/** A record of the intent topic. */
export interface IntentRecord {
  kind: 'change';
  /** Unique id, by which an append whose answer was lost can be looked up. */
  id: string;
  author: string;
  at: number;
  changes: IntentChange[];
}

/** The intent in force at one node. */
export interface IntentView {
  document: IntentDocument;
  /** Offset of the last record read; -1 before the first. */
  offset: number;
  /** Version of each key: the offset of the record that last changed it. */
  versions: Readonly<Record<string, number>>;
}

/** A change as an operator submits it, with the operator's own `id` and `author`. */
export type IntentSubmission = Pick<IntentRecord, 'id' | 'author' | 'changes'>;

/** A key whose current version differs from the base of a change. */
export interface IntentConflict {
  key: string;
  base: number;
  /** The current version; -1 if the key does not exist. */
  version: number;
  /** Author of the current version, if still known. */
  author?: string;
}

/** Outcome of a submission. `accepted` only once the record has been read back and is valid on replay. */
export type SubmitOutcome =
  | { outcome: 'accepted'; version: number }
  | { outcome: 'conflict'; conflicts: IntentConflict[] }
  | { outcome: 'invalid'; faults: string[] }
  | { outcome: 'unknown'; id: string };

/** Whether a node's intent is known to be the latest. */
export interface IntentFreshness {
  /** The log's end, or a peer's offset, has been reached at least once since the start. */
  caughtUp: boolean;
  /** Milliseconds since the log or a peer last confirmed the offset; undefined if never. */
  confirmedMsAgo?: number;
  /** Records known to exist beyond the node's offset. */
  behind: number;
  state: IntentState;
  /** Why the state is not `fresh`. */
  reason?: IntentStaleReason;
}

/**
 * How current a node's intent is: `starting` has never reached the latest offset; `fresh` had it
 * confirmed recently; `stale` still gets answers from peers; `isolated` gets none.
 */
export type IntentState = 'starting' | 'fresh' | 'stale' | 'isolated';

/** Why a node's intent isn't known to be the latest. */
export type IntentStaleReason =
  | 'replaying'
  | 'behind-peer'
  | 'no-usable-checkpoint'
  | 'asking-peers'
  | 'log-unreachable'
  | 'log-and-peers-unreachable';

/** Keeps one node's intent up to date. */
export interface IntentReader {
  current(): IntentView;
  freshness(): IntentFreshness;
  /** Calls `fn` after every change of the view, until the returned function is called. */
  onChange(fn: (view: IntentView) => void): () => void;
  /** Appends a change and waits until it is read back. Repeating it with the same id is safe. */
  submit(submission: IntentSubmission): Promise<SubmitOutcome>;
  /** Resolves once `freshness().caughtUp` holds. */
  ready(): Promise<void>;
  close(): Promise<void>;
}
