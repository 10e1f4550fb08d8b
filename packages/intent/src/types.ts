import { z } from 'zod';

/** Everything that operators can declare, with defaults and units. */
export const classSchema = z.strictObject({
  /** The answer (or first token, for streams) may be at most this late, in milliseconds. */
  latestAnswerMs: z.number().int().positive(),
  /** The share of requests to be served within the target, 0 to 1. */
  share: z.number().min(0).max(1).default(0.95),
  /** The priority lane goes before every other class. */
  priority: z.enum(['live', 'normal', 'background']).default('normal'),
  /** Calls of this class are never dispatched twice. */
  mayNotRepeat: z.boolean().default(false),
});

/** An organisation, known by the SHA-256 hashes (hex) of its API keys. */
export const organisationSchema = z.strictObject({
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).default([]),
  /** The class of a request that names none. */
  defaultClass: z.string().optional(),
});

/** A route from a path prefix at the callers' door to a plain service. */
export const routeSchema = z.strictObject({
  pathPrefix: z.string().startsWith('/'),
  service: z.string(),
  class: z.string(),
});

/** What matters more when expert groups are balanced. */
export const balanceSchema = z.strictObject({
  weighs: z.enum(['skew', 'rebalancing-cost']).default('skew'),
});

/** Whether a data centre serves or is being stopped. */
export const dataCentreSchema = z.strictObject({
  state: z.enum(['serving', 'stopped']).default('serving'),
});

/** The whole of the operators' intent. */
export const intentDocumentSchema = z.strictObject({
  classes: z.record(z.string(), classSchema).default({}),
  organisations: z.record(z.string(), organisationSchema).default({}),
  routes: z.record(z.string(), routeSchema).default({}),
  balance: z.record(z.string(), balanceSchema).default({}),
  dataCentres: z.record(z.string(), dataCentreSchema).default({}),
});

/** The validated intent document. */
export type IntentDocument = z.infer<typeof intentDocumentSchema>;
/** A class of work with its target. */
export type ClassIntent = z.infer<typeof classSchema>;
/** An organisation's declaration. */
export type OrganisationIntent = z.infer<typeof organisationSchema>;
/** A route's declaration. */
export type RouteIntent = z.infer<typeof routeSchema>;

/** A key of the document: section and name, for example `classes/live-sale`. */
export type IntentKey = `${keyof IntentDocument}/${string}`;

/** One key's change; `base` is the version (offset) it was made from, -1 for a new key. */
export interface IntentChange {
  key: IntentKey;
  base: number;
  /** The new value, or null to remove the key. */
  value: unknown;
}

/** A record of the intent topic. */
export interface IntentRecord {
  kind: 'change';
  /** Unique id, so that an append whose answer was lost can be looked up. */
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

/** What an operator sends; `id` and `author` are the operator's. */
export type IntentSubmission = Pick<IntentRecord, 'id' | 'author' | 'changes'>;

/** A key whose version was no longer the one that a change was made from. */
export interface IntentConflict {
  key: string;
  base: number;
  /** The version that won; -1 when the key does not exist. */
  version: number;
  /** Who made the version that won, where it is still known. */
  author?: string;
}

/** What became of a submission; `accepted` only once the record is read back and valid on replay. */
export type SubmitOutcome =
  | { outcome: 'accepted'; version: number }
  | { outcome: 'conflict'; conflicts: IntentConflict[] }
  | { outcome: 'invalid'; faults: string[] }
  | { outcome: 'unknown'; id: string };

/** Whether a node knows that its intent is the newest. */
export interface IntentFreshness {
  /** The log's end, or a peer's offset, has been reached at least once since the start. */
  caughtUp: boolean;
  /** Milliseconds since the log or a peer last confirmed the offset; undefined when never. */
  confirmedMsAgo?: number;
  /** Records known to exist beyond the node's offset. */
  behind: number;
  state: IntentState;
  /** Why the state is not `fresh`. */
  reason?: IntentStaleReason;
}

/**
 * How far a node can vouch for its intent: `starting` has never reached the newest offset; `fresh`
 * had it confirmed lately; `stale` still hears from peers; `isolated` hears from nobody.
 */
export type IntentState = 'starting' | 'fresh' | 'stale' | 'isolated';

/** What keeps a node's intent from being known as the newest. */
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
  /** Runs `fn` after every change of the view; the returned function ends that. */
  onChange(fn: (view: IntentView) => void): () => void;
  /** Appends a change and waits until it is read back. Asking again with the same id is safe. */
  submit(submission: IntentSubmission): Promise<SubmitOutcome>;
  /** Resolves once `freshness().caughtUp` holds. */
  ready(): Promise<void>;
  close(): Promise<void>;
}
