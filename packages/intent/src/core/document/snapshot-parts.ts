/**
 * Cuts a state to what one frame, or one record of the log, carries.
 *
 * The state of 11,000 organisations is larger than a link's largest frame, which would end the link
 * each time that a starting node asks for it, and larger than the record that a log takes by
 * default (1 MB). So it goes in parts of one frozen state; records go in batches anyway.
 */

import type { LogRecord } from '@plantaindrum/service-clients';
import type { IntentSnapshot } from './aggregate.js';

/** One part of a state; all parts of one `asOf` make the whole. */
export interface SnapshotPart extends IntentSnapshot {
  index: number;
  count: number;
}

/** Names a part that a peer wants next. */
export interface PartName {
  asOf: number;
  index: number;
}

/** Keys in one part; far below a frame at the size of an organisation's declaration. */
export const PART_KEYS = 2_000;
/** Bytes of JSON in one batch of records, unless a single record is larger. */
const BATCH_BYTES = 524_288;

const countOf = ({ values, versions, recent }: IntentSnapshot, partKeys: number): number =>
  Math.max(1, ...[values, versions, recent].map((list) => Math.ceil(list.length / partKeys)));

/** The part of a state with the given index. */
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

/** All parts of a state, in order. */
export const partsOf = (snapshot: IntentSnapshot, partKeys = PART_KEYS): SnapshotPart[] =>
  Array.from({ length: countOf(snapshot, partKeys) }, (_, index) =>
    partOf(snapshot, index, partKeys),
  );

/** Puts the parts of one state together; undefined when they are not all of one. */
export const joinParts = (parts: SnapshotPart[]): IntentSnapshot | undefined => {
  const [first] = parts;
  const isWhole = parts.every(
    ({ asOf, index, count }, at) => asOf === first?.asOf && index === at && count === parts.length,
  );
  if (!first || !isWhole) return undefined;
  return {
    asOf: first.asOf,
    values: parts.flatMap(({ values }) => values),
    versions: parts.flatMap(({ versions }) => versions),
    recent: parts.flatMap(({ recent }) => recent),
  };
};

/** The first records that fit in one batch; at least one. */
export const batchOf = (records: LogRecord[], most: number): LogRecord[] => {
  let bytes = 0;
  const end = records.findIndex((record, at) => {
    bytes += JSON.stringify(record).length;
    return at > 0 && (at >= most || bytes > BATCH_BYTES);
  });
  return end < 0 ? records : records.slice(0, end);
};
