import { readFileSync } from 'node:fs';
import { findNodeAtLocation, parse, parseTree, printParseErrorCode } from 'jsonc-parser';
import type { ParseError } from 'jsonc-parser';
import { z } from 'zod';
import type { Result } from './result.js';
import { fail, ok } from './result.js';

const addressSchema = z.strictObject({
  /** IP number to listen on. */
  host: z.string().default('127.0.0.1'),
  /** TCP port; 0 takes a free one. */
  port: z.number().int().min(0).max(65535),
});

const nodeSchema = z.strictObject({
  /** Name of this VM as the platform's list knows it. */
  name: z.string().min(1),
  dataCentre: z.string().min(1),
  region: z.string().min(1),
});

const platformSchema = z.strictObject({
  /** Base address of the log service (Kafka REST). */
  logUrl: z.url(),
  /** Address of the VM list (Prometheus HTTP service discovery). */
  vmListUrl: z.url(),
  /** Base address of the weight store. */
  weightsUrl: z.url().optional(),
});

const limitsSchema = z
  .strictObject({
    /** Largest request body, in bytes. */
    bodyBytes: z.number().int().positive().default(1_048_576),
    /** Largest request header, in bytes. */
    headerBytes: z.number().int().positive().default(16_384),
    /** Largest frame on a link, in bytes. */
    frameBytes: z.number().int().positive().default(2_097_152),
    /** Most open connections at one door. */
    connections: z.number().int().positive().default(4_096),
    /** Most requests waiting in an agent's queue. */
    queue: z.number().int().positive().default(1_024),
    /** Most requests that an agent hands to its upstream at once. */
    concurrency: z.number().int().positive().default(32),
  })
  .prefault({});

/** Settings of an entry process. */
export const entrySettingsSchema = z.strictObject({
  node: nodeSchema,
  /** The callers' door. */
  callers: addressSchema,
  /** The operators' door: metrics, status, readiness. */
  operators: addressSchema.extend({
    /** Bearer token that operators present. */
    token: z.string().min(8),
  }),
  /** Where peers connect to this node. */
  link: addressSchema,
  platform: platformSchema,
  limits: limitsSchema,
});

/** Settings of an agent process. */
export const agentSettingsSchema = z.strictObject({
  node: nodeSchema,
  link: addressSchema,
  operators: addressSchema.extend({ token: z.string().min(8) }),
  upstream: z.strictObject({
    kind: z.enum(['model', 'service']),
    /** Address of the engine or service beside this agent. */
    url: z.url(),
    /** The expert group whose ranks this upstream serves. */
    group: z.string().optional(),
    ranks: z.array(z.number().int().min(0)).default([]),
    /** Shape of the expert group; without it this agent never coordinates the group. */
    layout: z
      .strictObject({
        rankCount: z.number().int().positive(),
        layers: z.number().int().positive(),
        /** Experts in each layer. */
        experts: z.number().int().positive(),
        /** Replicas that one rank's memory holds in each layer. */
        slots: z.number().int().positive(),
        /** Size of one expert's weights in one layer. */
        bytesPerExpert: z.number().int().positive().default(50_000_000),
      })
      .optional(),
  }),
  platform: platformSchema,
  limits: limitsSchema,
});

/** Validated settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Validated settings of an agent. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;

/** One fault in a settings file. */
export interface SettingsFault {
  /** Dotted key, for example `callers.port`. */
  key: string;
  /** What stands there, as JSON; `nothing` when the key is missing. */
  found: string;
  expected: string;
  /** Line in the file, from 1. */
  line: number;
}

const lineAt = (text: string, offset: number): number => text.slice(0, offset).split('\n').length;

const foundAt = (value: unknown): string =>
  value === undefined ? 'nothing' : JSON.stringify(value);

const nodeOffset = (text: string, path: (string | number)[]): number => {
  const tree = parseTree(text);
  for (let length = path.length; tree && length >= 0; length -= 1) {
    const found = findNodeAtLocation(tree, path.slice(0, length))?.offset;
    if (found !== undefined) return found;
  }
  return 0;
};

const valueAt = (document: unknown, path: (string | number)[]): unknown =>
  path.reduce<unknown>(
    (value, key) => (value as Record<string, unknown> | undefined)?.[key],
    document,
  );

/** Parses JSON with comments and validates it by a schema; every fault is named. */
export const parseSettings = <S extends z.ZodType>(
  text: string,
  schema: S,
): Result<z.infer<S>, SettingsFault[]> => {
  const errors: ParseError[] = [];
  const document: unknown = parse(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) {
    return fail(
      errors.map((err) => ({
        key: '(syntax)',
        found: printParseErrorCode(err.error),
        expected: 'JSON with comments',
        line: lineAt(text, err.offset),
      })),
    );
  }
  const checked = schema.safeParse(document);
  if (checked.success) return ok(checked.data);
  return fail(
    checked.error.issues.map((issue) => {
      const path = issue.path.map((part) => (typeof part === 'symbol' ? String(part) : part));
      return {
        key: path.join('.') || '(root)',
        found: foundAt(valueAt(document, path)),
        expected: issue.message,
        line: lineAt(text, nodeOffset(text, path)),
      };
    }),
  );
};

/** Reads a settings file; see `parseSettings`. */
export const readSettings = <S extends z.ZodType>(file: string, schema: S) =>
  parseSettings(readFileSync(file, 'utf8'), schema);
