/** Checks what peers pass on of the log before any code relies on its type. */

import { isNumber, isObject } from '@plantaindrum/common';
import type { KeyedRecord } from './keyed-mirror.js';
import type { PeerPush } from './topic.js';

const isRecord = (value: unknown): value is KeyedRecord =>
  isObject(value) &&
  typeof value.key === 'string' &&
  typeof value.offset === 'number' &&
  (value.value === undefined || value.value === null || value.value instanceof Uint8Array);

/** Records of a keyed topic; undefined when one of them isn't one. */
export const readRecordList = (value: unknown): KeyedRecord[] | undefined =>
  Array.isArray(value) && value.every(isRecord)
    ? value.map((record) => ({ ...record, value: record.value ?? undefined }))
    : undefined;

/** What a peer passes on; undefined when it isn't that. */
export const readPush = (value: unknown): PeerPush | undefined => {
  if (!isObject(value)) return undefined;
  const { after, end, generation, records } = value;
  if (!isNumber(after) || !isNumber(end) || !isNumber(generation)) return undefined;
  const read = readRecordList(records);
  return read && { after, end, generation, records: read };
};
