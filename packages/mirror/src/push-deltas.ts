/**
 * Deltas of pushed records. A server rewrites its entry of the list about every second, mostly with a new sequence number
 * only; pushed in full to each entry these were most of the bytes of the pushes. A delta names the record that it is
 * based on by its offset, and carries what differs from it.
 */

import { isNumber } from '@plantaindrum/common';
import type { KeyedItem, KeyedRecord } from './keyed-mirror.js';
import type { PeerPush } from './topic.js';

/**
 * A record whose value differs from that of an earlier record of its key: its offset, the earlier record's offset and
 * length, the number of leading and trailing bytes that are the same, and the bytes between them.
 */
export type RecordDelta = readonly [
  offset: number,
  base: number,
  baseLength: number,
  prefix: number,
  suffix: number,
  middle: Uint8Array,
];

/** A push on a link: some records in full, the others as deltas. */
export interface EncodedPush extends PeerPush {
  deltas?: readonly RecordDelta[];
}

/** Keys and bytes that a sender keeps of its last push; bounds the memory. */
const MAX_KEYS = 4_096;
const MAX_VALUE_BYTES = 4_096;

const countSame = (length: number, isSame: (at: number) => boolean): number => {
  let count = 0;
  while (count < length && isSame(count)) count += 1;
  return count;
};

const createDelta = (record: KeyedItem, base: KeyedItem): RecordDelta => {
  const { value } = record;
  const shorter = Math.min(value.length, base.value.length);
  const prefix = countSame(shorter, (at) => value[at] === base.value[at]);
  const suffix = countSame(
    shorter - prefix,
    (at) => value[value.length - 1 - at] === base.value[base.value.length - 1 - at],
  );
  const middle = value.subarray(prefix, value.length - suffix);
  return [record.offset, base.offset, base.value.length, prefix, suffix, middle];
};

/** Encodes the pushes of one topic; every push has to be sent to all peers. */
export type EncodePush = (push: PeerPush) => EncodedPush;

/** Creates an encoder that sends the first record of each key in full. */
export const createPushEncoder = (): EncodePush => {
  const sent = new Map<string, KeyedItem>();
  let generation: number | undefined;

  const encodeRecord = (record: KeyedRecord): RecordDelta | undefined => {
    const { key, value, offset } = record;
    const base = sent.get(key);
    sent.delete(key);
    if (value === undefined || value.length > MAX_VALUE_BYTES || offset < 0) return undefined;
    const item = { key, value, offset };
    sent.set(key, item);
    const [oldest] = sent.keys();
    if (sent.size > MAX_KEYS && oldest !== undefined) sent.delete(oldest);
    return base && base.offset < offset ? createDelta(item, base) : undefined;
  };

  return (push) => {
    if (push.generation !== generation) sent.clear();
    generation = push.generation;
    const records: KeyedRecord[] = [];
    const deltas: RecordDelta[] = [];
    push.records.forEach((record) => {
      const delta = encodeRecord(record);
      if (delta) deltas.push(delta);
      else records.push(record);
    });
    return deltas.length > 0 ? { ...push, records, deltas } : push;
  };
};

const isDelta = (value: unknown): value is RecordDelta =>
  Array.isArray(value) &&
  value.slice(0, 5).every((each) => isNumber(each) && each >= 0) &&
  value[5] instanceof Uint8Array;

/** Reads the deltas of a received push; undefined if one of them is malformed. */
export const readDeltas = (value: unknown): RecordDelta[] | undefined => {
  if (value === undefined) return [];
  return Array.isArray(value) && value.every(isDelta) ? value : undefined;
};

const applyDelta = (delta: RecordDelta, base: KeyedItem | undefined): KeyedRecord | undefined => {
  const [offset, , baseLength, prefix, suffix, middle] = delta;
  if (base?.value.length !== baseLength || prefix + suffix > baseLength) return undefined;
  const head = base.value.subarray(0, prefix);
  const tail = base.value.subarray(baseLength - suffix);
  return { key: base.key, value: Buffer.concat([head, middle, tail]), offset };
};

/**
 * Restores the records of a push from those that the receiver holds, in the order of the log; undefined if it lacks one
 * that a delta is based on.
 */
export const decodePush = (push: EncodedPush, held: readonly KeyedItem[]): PeerPush | undefined => {
  const { deltas = [], ...rest } = push;
  if (deltas.length === 0) return rest;
  const byOffset = new Map(held.map((item) => [item.offset, item]));
  const restored = deltas.map((delta) => applyDelta(delta, byOffset.get(delta[1])));
  if (!restored.every((record) => record !== undefined)) return undefined;
  const records = [...push.records, ...restored].sort((a, b) => a.offset - b.offset);
  return { ...rest, records };
};
