/**
 * Encodes long lists of small whole numbers as bytes. Counts and maps of a group of 192 ranks are
 * thousands of numbers. As CBOR arrays they take 8 to 17 KB, which an agent's link of 4 Mbit/s
 * transfers in 15 to 32 ms.
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib';

const PAYLOAD_BITS = 7;
const CONTINUATION_BIT = 0x80;
const BASE = 2 ** PAYLOAD_BITS;
/** Values up to 2^53 take at most eight bytes of seven bits. */
const MAX_BYTES_PER_NUMBER = 8;
/** Fastest level: it halves the size of maps, and higher levels save only a few per cent more. */
const DEFLATE_OPTIONS = { level: 1 };
/**
 * Maximum size of a list after inflating, in bytes: a peer's frame must not exhaust this process's
 * memory.
 */
const MAX_UNPACKED_BYTES = 1_048_576;

/** Packs non-negative whole numbers, seven bits a byte, lowest bits first. */
export const packNumbers = (numbers: readonly number[]): Uint8Array => {
  const bytes = new Uint8Array(numbers.length * MAX_BYTES_PER_NUMBER);
  let length = 0;
  for (const number of numbers) {
    let rest = number;
    while (rest >= BASE) {
      bytes[length] = (rest % BASE) + CONTINUATION_BIT;
      length += 1;
      rest = Math.floor(rest / BASE);
    }
    bytes[length] = rest;
    length += 1;
  }
  return bytes.slice(0, length);
};

/** Unpacks the output of `packNumbers`; undefined when the bytes end within a number. */
export const unpackNumbers = (bytes: Uint8Array): number[] | undefined => {
  const numbers: number[] = [];
  let number = 0;
  let factor = 1;
  for (const byte of bytes) {
    number += (byte % CONTINUATION_BIT) * factor;
    if (byte >= CONTINUATION_BIT) {
      factor *= BASE;
    } else {
      numbers.push(number);
      number = 0;
      factor = 1;
    }
  }
  return factor === 1 ? numbers : undefined;
};

/** Packs and deflates numbers that repeat, such as those of maps. */
export const deflateNumbers = (numbers: readonly number[]): Uint8Array =>
  deflateRawSync(packNumbers(numbers), DEFLATE_OPTIONS);

/** Decodes the output of `deflateNumbers`; undefined when the bytes are invalid. */
export const inflateNumbers = (bytes: Uint8Array): number[] | undefined => {
  try {
    return unpackNumbers(inflateRawSync(bytes, { maxOutputLength: MAX_UNPACKED_BYTES }));
  } catch {
    return undefined;
  }
};

/** Largest count that a byte holds exactly. */
const MAX_BYTE = 255;

/**
 * Packs counts in one byte each, after the largest count. Counts up to 255 are exact; larger ones are stored as the
 * square root of their share of the largest, which is off by at most a hundredth of an expert's count when it is a
 * sixth of the largest. Counts of the same expert differ by more between two polls. Counts of all ranks of a data
 * centre take two bytes otherwise, and are the largest messages between data centres.
 */
export const packCounts = (counts: readonly number[]): Uint8Array => {
  const max = counts.reduce((highest, n) => Math.max(highest, n), 0);
  const toByte =
    max <= MAX_BYTE ? (n: number) => n : (n: number) => Math.round(MAX_BYTE * Math.sqrt(n / max));
  return Buffer.concat([packNumbers([max]), Uint8Array.from(counts, toByte)]);
};

/** Decodes the output of `packCounts`; undefined when it doesn't begin with a number. */
export const unpackCounts = (bytes: Uint8Array): number[] | undefined => {
  const maxLength = bytes.findIndex((byte) => byte < CONTINUATION_BIT) + 1;
  const [max] = unpackNumbers(bytes.subarray(0, maxLength)) ?? [];
  if (max === undefined) return undefined;
  const fromByte =
    max <= MAX_BYTE ? (byte: number) => byte : (byte: number) => max * (byte / MAX_BYTE) ** 2;
  return Array.from(bytes.subarray(maxLength), (byte) => Math.round(fromByte(byte)));
};
