/**
 * Splits a snapshot into parts that fit in one frame of a link, or one record of the log.
 *
 * The state of 11,000 organisations exceeds the largest frame of a link, so that sending it would
 * close the link each time a starting node fetches it, and the default record limit of a log (1 MB).
 * So it is sent in parts of one snapshot. Records are sent in batches anyway.
 */

import type { LogRecord } from '@plantaindrum/service-clients';
import type { IntentSnapshot } from './aggregate.js';

/** One part of a snapshot; all parts with the same `asOf` make up the snapshot. */
export interface SnapshotPart extends IntentSnapshot {
  index: number;
  count: number;
}

/** Identifies the part that a peer requests next. */
export interface PartId {
  asOf: number;
  index: number;
}

/** Keys in one part: with the size of an organisation's declaration, far below the frame limit. */
export const PART_KEYS = 2_000;
/** Limit on a batch of records in bytes of JSON; a single larger record is a batch of its own. */
const BATCH_BYTES = 524_288;

const countOf = ({ values, versions, recent }: IntentSnapshot, partKeys: number): number =>
  Math.max(1, ...[values, versions, recent].map((list) => Math.ceil(list.length / partKeys)));

/** The part of a snapshot with the given index. */
export const partOf = (
  snapshot: IntentSnapshot,
  index: number,
  partKeys = PART_KEYS,
): SnapshotPart => {
  const slice = <T>(list: T[]): T[] => list.slice(index * partKeys, (index + 1) * partKeys);
  return {
    asOf: snapshot.asOf,
    index,
    count: countOf(snapshot, partKeys),
    values: slice(snapshot.values),
    versions: slice(snapshot.versions),
    recent: slice(snapshot.recent),
  };
};

/** All parts of a snapshot, in order. */
export const partsOf = (snapshot: IntentSnapshot, partKeys = PART_KEYS): SnapshotPart[] =>
  Array.from({ length: countOf(snapshot, partKeys) }, (_, index) =>
    partOf(snapshot, index, partKeys),
  );

/** Joins the parts of one snapshot; undefined if any is missing or belongs to another snapshot. */
export const joinParts = (parts: SnapshotPart[]): IntentSnapshot | undefined => {
  const [first] = parts;
  const isComplete = parts.every(
    ({ asOf, index, count }, at) => asOf === first?.asOf && index === at && count === parts.length,
  );
  if (!first || !isComplete) return undefined;
  return {
    asOf: first.asOf,
    values: parts.flatMap(({ values }) => values),
    versions: parts.flatMap(({ versions }) => versions),
    recent: parts.flatMap(({ recent }) => recent),
  };
};

/** The leading records that fit in one batch; at least one. */
export const batchOf = (records: LogRecord[], maxRecords: number): LogRecord[] => {
  let bytes = 0;
  const end = records.findIndex((record, at) => {
    bytes += JSON.stringify(record).length;
    return at > 0 && (at >= maxRecords || bytes > BATCH_BYTES);
  });
  return end < 0 ? records : records.slice(0, end);
};
