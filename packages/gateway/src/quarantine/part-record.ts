/** Record on the platform of the crashes that one entry has seen, for entries that start or were disconnected. */

import { decodeJson, encodeJson, isNumber, isObject } from '@plantaindrum/common';
import { readList } from '../mesh/read-list.js';

/** A crash in which a request was in flight. Times are Unix times in ms, as the record outlives processes. */
export interface RecordedPartCrash {
  instance: string;
  fingerprint: string;
  sharedParts: string[];
  sentAt: number;
  endedAt: number;
}

/** Value stored under the key of an entry. */
export interface PartRecord {
  crashes: RecordedPartCrash[];
  /** Parts of these crashes with which requests have succeeded before, and when they last did. */
  sound: { part: string; at: number }[];
}

/** Maximum number of crashes in a record: the platform takes 262,144 bytes, with parts of the most and longest ids. */
export const MAX_RECORDED_CRASHES = 48;
/** Maximum number of a request's parts that count as evidence. */
export const MAX_SHARED_PARTS = 64;
/** Maximum number of parts in a record that are known to have succeeded. */
export const MAX_SOUND_PARTS = 256;

const KEY_PREFIX = 'crashes/';

/** Key of an entry's record. */
export const partRecordKey = (node: string): string => `${KEY_PREFIX}${node}`;

/** Node name in the key of a record; undefined if the key is another one. */
export const nodeOfPartRecord = (key: string): string | undefined =>
  key.startsWith(KEY_PREFIX) ? key.slice(KEY_PREFIX.length) : undefined;

/** Whether a value is the id of a part of a prompt. */
export const isPart = (value: unknown): value is string =>
  typeof value === 'string' && /^[0-9a-f]{1,64}$/.test(value);

/** Whether a value is a list of ids of the parts of one prompt. */
export const isPartList = (value: unknown): value is string[] =>
  Array.isArray(value) && value.length <= MAX_SHARED_PARTS && value.every(isPart);

const isRecordedCrash = (crash: Record<string, unknown>): boolean =>
  typeof crash.instance === 'string' &&
  typeof crash.fingerprint === 'string' &&
  isPartList(crash.sharedParts) &&
  isNumber(crash.sentAt) &&
  isNumber(crash.endedAt) &&
  crash.sentAt <= crash.endedAt;

/** Encodes a record. */
export const encodePartRecord = (record: PartRecord): Uint8Array => encodeJson(record);

/** Decodes a record; undefined when the bytes aren't one. */
export const decodePartRecord = (bytes: Uint8Array): PartRecord | undefined => {
  const value = decodeJson(bytes);
  if (!isObject(value)) return undefined;
  const crashes = readList<RecordedPartCrash>(value.crashes, MAX_RECORDED_CRASHES, isRecordedCrash);
  const sound = readList<PartRecord['sound'][number]>(
    value.sound,
    MAX_SOUND_PARTS,
    ({ part, at }) => isPart(part) && isNumber(at),
  );
  return crashes && sound && { crashes, sound };
};
