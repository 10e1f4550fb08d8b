/** Counts the data items of CBOR before it is decoded (RFC 8949, 3): an empty map of one byte becomes an object. */

/** The first byte of an item has three bits for its major type and five for additional information. */
const INFO_VALUES = 32;
const INDEFINITE_LENGTH = 31;
/** Smaller values are the argument itself, those up to the longest say how many bytes it has: 1, 2, 4 or 8. */
const SHORT_ARGUMENT = 24;
const LONGEST_ARGUMENT = 27;
const BYTE_STRING = 2;
const TEXT_STRING = 3;

const argumentBytes = (info: number): number =>
  info < SHORT_ARGUMENT || info === INDEFINITE_LENGTH ? 0 : 2 ** (info - SHORT_ARGUMENT);

/** Reads the length of a string; the chunks of one of indefinite length are items by themselves. */
const readLength = (payload: Buffer, at: number, info: number, size: number): number => {
  if (info === INDEFINITE_LENGTH) return 0;
  if (size === 0) return info;
  return size === 8 ? Number(payload.readBigUInt64BE(at)) : payload.readUIntBE(at, size);
};

/** Whether a payload has at most this many data items, as far as it is well-formed. */
export const hasAtMostItems = (payload: Buffer, maxItems: number): boolean => {
  let at = 0;
  for (let items = 0; at < payload.length; items += 1) {
    if (items >= maxItems) return false;
    const first = payload[at] ?? 0;
    const info = first % INFO_VALUES;
    if (info > LONGEST_ARGUMENT && info !== INDEFINITE_LENGTH) return false;
    const size = argumentBytes(info);
    const start = at + 1;
    at = start + size;
    if (at > payload.length) return false;
    const major = Math.floor(first / INFO_VALUES);
    if (major === BYTE_STRING || major === TEXT_STRING) {
      at += readLength(payload, start, info, size);
    }
  }
  return true;
};
