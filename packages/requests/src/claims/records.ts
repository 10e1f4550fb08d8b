import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { ClaimId, ClaimOutcome } from './types.js';

/** Claim of an agent that wants to run the call of a key. */
export interface ClaimRecord {
  kind: 'claim';
  id: ClaimId;
  /** Hash of organisation and key, see `hashKey`. */
  key: string;
  /** Hash of the call, to detect a key that is used for another call. */
  body: string;
}

/** Record of a call that was answered. */
export interface FinishRecord {
  kind: 'finish';
  id: ClaimId;
  key: string;
  outcome: ClaimOutcome;
}

/** Record of a call that has not run and can't run later. */
export interface ReleaseRecord {
  kind: 'release';
  id: ClaimId;
  key: string;
}

/** A record of the claims topic. */
export type ClaimLogRecord = ClaimRecord | FinishRecord | ReleaseRecord;

/** Topic of the claims; the key's hash selects the partition. */
export const CLAIMS_TOPIC = 'plantaindrum.claims';
/**
 * Number of partitions. It must be the same at every agent, or one key could have two first claims.
 */
export const CLAIM_PARTITIONS = 4;

const outcomeSchema = z.object({
  status: z.number(),
  contentType: z.string().optional(),
  body: z.string().optional(),
});

const base = { id: z.string(), key: z.string() };

const recordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claim'), ...base, body: z.string() }),
  z.object({ kind: z.literal('finish'), ...base, outcome: outcomeSchema }),
  z.object({ kind: z.literal('release'), ...base }),
]);

/** Parses a record; undefined for an invalid one, which replay skips. */
export const parseClaimRecord = (value: unknown): ClaimLogRecord | undefined => {
  const parsed = recordSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
};

/** 132 bits of SHA-256 in base64url: short, and without accidental collisions. */
const shortHash = (text: string): string =>
  createHash('sha256').update(text).digest('base64url').slice(0, 22);

/** Hash of an organisation and its key. */
export const hashKey = (organisation: string, key: string): string =>
  shortHash(`${organisation}\0${key}`);

/** Partition of a key, by its hash. */
export const partitionOf = (keyHash: string, partitions: number): number =>
  Buffer.from(keyHash, 'base64url').readUInt32BE(0) % partitions;

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Creation time of a key in milliseconds since the Unix epoch, if it is a UUIDv7 (RFC 9562). */
export const keyDate = (key: string): number | undefined => {
  const match = UUID_V7.exec(key);
  return match ? Number.parseInt(`${match[1]}${match[2]}`, 16) : undefined;
};
