/** Entries of the platform's list that name no upstream: counted each time, logged once each. */

import type { EventLog, Metrics } from '@plantaindrum/common';
import type { UpstreamFault } from '../types.js';

/** Takes an entry that names no upstream. */
export type NoteForeignEntry = (key: string, value: Uint8Array, fault: UpstreamFault) => void;

/**
 * Texts that are remembered as logged. A writer that puts a counter into its entry is logged this
 * often and then only counted: the log stays bounded.
 */
const MOST_TEXTS = 256;
/** Bytes of an entry that are compared and shown. */
const SHOWN_BYTES = 120;

/** Creates the note-taker. */
export const createForeignEntries = (metrics: Metrics, log: EventLog): NoteForeignEntry => {
  const logged = new Set<string>();
  return (key, value, fault) => {
    metrics.count('gateway_foreign_entries', { fault });
    const text = Buffer.from(value.subarray(0, SHOWN_BYTES)).toString('latin1');
    const id = `${key} ${text}`;
    if (logged.has(id) || logged.size >= MOST_TEXTS) return;
    logged.add(id);
    log.event('upstream-entry-foreign', { key, fault, bytes: value.length, text });
  };
};
