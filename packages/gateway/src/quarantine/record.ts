/** Records of quarantined requests on the platform, for entries that start or were disconnected. */

import { decodeJson, encodeJson, isNumber, isObject } from '@plantaindrum/common';

/** Value stored under a request's fingerprint. Times are Unix times in ms, as the record outlives processes. */
export interface QuarantineRecord {
  since: number;
  until: number;
}

/** Encodes a record. */
export const encodeRecord = (record: QuarantineRecord): Uint8Array => encodeJson(record);

/** Decodes a record; undefined when the bytes aren't one. */
export const decodeRecord = (bytes: Uint8Array): QuarantineRecord | undefined => {
  const value = decodeJson(bytes);
  if (!isObject(value)) return undefined;
  const { since, until } = value;
  return isNumber(since) && isNumber(until) && since <= until ? { since, until } : undefined;
};
