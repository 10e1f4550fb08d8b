/** Checks what peers pass on of the log before any code relies on its type. */

import { isObject } from '@plantaindrum/common';
import type { PeerPush } from './follow.js';
import type { KeyedRecord } from './keyed-mirror.js';

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
  const { after, end, records } = value;
  if (typeof after !== 'number' || typeof end !== 'number') return undefined;
  const read = readRecordList(records);
  return read && { after, end, records: read };
};
