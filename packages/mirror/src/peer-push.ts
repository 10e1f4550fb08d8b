/** Validates records that peers forward from the log. */

import { isNumber, isObject } from '@plantaindrum/common';
import type { KeyedRecord } from './keyed-mirror.js';
import { readDeltas } from './push-deltas.js';
import type { EncodedPush } from './push-deltas.js';
import type { PeerRecords } from './topic.js';

const isRecord = (value: unknown): value is KeyedRecord =>
  isObject(value) &&
  typeof value.key === 'string' &&
  typeof value.offset === 'number' &&
  (value.value === undefined || value.value === null || value.value instanceof Uint8Array);

/** Parses records of a keyed topic; undefined if any of them is malformed. */
export const parseRecordList = (value: unknown): KeyedRecord[] | undefined =>
  Array.isArray(value) && value.every(isRecord)
    ? value.map((record) => ({ ...record, value: record.value ?? undefined }))
    : undefined;

/** Parses a push from a peer; undefined if it is malformed. */
export const parsePush = (value: unknown): EncodedPush | undefined => {
  if (!isObject(value)) return undefined;
  const { after, end, generation, records } = value;
  if (!isNumber(after) || !isNumber(end) || !isNumber(generation)) return undefined;
  const parsed = parseRecordList(records);
  const deltas = readDeltas(value.deltas);
  if (!parsed || !deltas) return undefined;
  return { after, end, generation, records: parsed, ...(deltas.length > 0 && { deltas }) };
};

/** Parses the records that a peer holds or has read; undefined if they are malformed. */
export const parsePeerRecords = (value: unknown): PeerRecords | undefined => {
  if (!isObject(value)) return undefined;
  const { end, generation, ageMs } = value;
  const records = parseRecordList(value.records);
  if (!records || !isNumber(end) || !isNumber(generation) || !isNumber(ageMs)) return undefined;
  return { records, end, generation, ageMs, isFull: value.isFull === true };
};
