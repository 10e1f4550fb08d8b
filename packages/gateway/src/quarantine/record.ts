/** A request in quarantine as it is kept on the platform, for entries that start or were cut off. */

import { decodeJson, encodeJson, isNumber, isObject } from '@plantaindrum/common';

/** What is kept under a request's fingerprint. Unix times in milliseconds: the record outlives processes. */
export interface QuarantineRecord {
  since: number;
  until: number;
}

/** A record as bytes. */
export const encodeRecord = (record: QuarantineRecord): Uint8Array => encodeJson(record);

/** Reads a record; undefined when it isn't one. */
export const decodeRecord = (bytes: Uint8Array): QuarantineRecord | undefined => {
  const value = decodeJson(bytes);
  if (!isObject(value)) return undefined;
  const { since, until } = value;
  return isNumber(since) && isNumber(until) && since <= until ? { since, until } : undefined;
};
