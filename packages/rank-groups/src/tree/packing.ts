/**
 * Long lists of small whole numbers as bytes. Counts and maps of a group of 192 ranks are thousands of
 * numbers; as CBOR arrays they take 8 to 17 KB, which an agent's link of 4 Mbit/s carries in 15 to 32 ms.
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib';

const PAYLOAD_BITS = 7;
const MORE = 0x80;
const BASE = 2 ** PAYLOAD_BITS;
/** Values up to 2^53 take at most eight bytes of seven bits. */
const MOST_BYTES = 8;
/** Fastest level: maps shrink to half with it, and the better levels win a few per cent more. */
const DEFLATE = { level: 1 };
/** Largest list that is unpacked, in bytes: a peer's frame must not fill this process's memory. */
const MAX_UNPACKED_BYTES = 1_048_576;

/** Packs whole numbers from 0, seven bits a byte, the lowest first. */
export const packNumbers = (numbers: readonly number[]): Uint8Array => {
  const bytes = new Uint8Array(numbers.length * MOST_BYTES);
  let length = 0;
  for (const number of numbers) {
    let rest = number;
    while (rest >= BASE) {
      bytes[length] = (rest % BASE) + MORE;
      length += 1;
      rest = Math.floor(rest / BASE);
    }
    bytes[length] = rest;
    length += 1;
  }
  return bytes.slice(0, length);
};

/** Unpacks what `packNumbers` made; undefined when the bytes end within a number. */
export const unpackNumbers = (bytes: Uint8Array): number[] | undefined => {
  const numbers: number[] = [];
  let number = 0;
  let factor = 1;
  for (const byte of bytes) {
    number += (byte % MORE) * factor;
    if (byte >= MORE) {
      factor *= BASE;
    } else {
      numbers.push(number);
      number = 0;
      factor = 1;
    }
  }
  return factor === 1 ? numbers : undefined;
};

/** Packs numbers that repeat, as those of maps do, into fewer bytes. */
export const deflateNumbers = (numbers: readonly number[]): Uint8Array =>
  deflateRawSync(packNumbers(numbers), DEFLATE);

/** Undoes `deflateNumbers`; undefined when the bytes aren't its. */
export const inflateNumbers = (bytes: Uint8Array): number[] | undefined => {
  try {
    return unpackNumbers(inflateRawSync(bytes, { maxOutputLength: MAX_UNPACKED_BYTES }));
  } catch {
    return undefined;
  }
};
