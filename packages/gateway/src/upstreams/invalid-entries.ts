/** Reports invalid entries of the platform's list: counts each of them, and logs each distinct one once. */

import type { EventLog, Metrics } from '@plantaindrum/common';
import type { UpstreamRecordFault } from '../types.js';

/** Counts and logs an invalid entry. */
export type RecordInvalidEntry = (
  key: string,
  value: Uint8Array,
  fault: UpstreamRecordFault,
) => void;

/**
 * Maximum number of distinct entries that are logged; further ones are only counted. This bounds the log if the content
 * of an entry changes each time that it is written.
 */
const MAX_LOGGED_TEXTS = 256;
/** Bytes of an entry that are compared and logged. */
const MAX_TEXT_BYTES = 120;

/** Creates the function that reports invalid entries. */
export const createInvalidEntryRecorder = (metrics: Metrics, log: EventLog): RecordInvalidEntry => {
  const logged = new Set<string>();
  return (key, value, fault) => {
    metrics.count('gateway_foreign_entries', { fault });
    const text = Buffer.from(value.subarray(0, MAX_TEXT_BYTES)).toString('latin1');
    const id = `${key} ${text}`;
    if (logged.has(id) || logged.size >= MAX_LOGGED_TEXTS) return;
    logged.add(id);
    log.event('upstream-entry-foreign', { key, fault, bytes: value.length, text });
  };
};
