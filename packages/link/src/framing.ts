/** Length-prefixed framing: every payload is preceded by its size in bytes, as four bytes in network order. */

import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';

const HEADER_BYTES = 4;

/** Why a byte stream can't be split into frames. */
export type FramingFault = 'frame-too-large' | 'malformed-frame';

/** Splits a byte stream into frames. */
export interface FrameSplitter {
  /** Appends bytes and returns the payloads that are now complete. */
  push(bytes: Buffer): Result<Buffer[], FramingFault>;
}

/** Prepends a payload's length. */
export const addLengthPrefix = (payload: Uint8Array): Buffer => {
  const framed = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  framed.writeUInt32BE(payload.length, 0);
  framed.set(payload, HEADER_BYTES);
  return framed;
};

/** Creates a splitter that rejects frames above `limit` bytes without buffering them. */
export const createFrameSplitter = (limit: number): FrameSplitter => {
  let parts: Buffer[] = [];
  let buffered = 0;
  let needed = HEADER_BYTES;
  let inPayload = false;

  const consume = (): Buffer => {
    const joined = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts, buffered);
    const consumed = joined.subarray(0, needed);
    buffered -= needed;
    parts = buffered > 0 ? [joined.subarray(needed)] : [];
    return consumed;
  };

  const readHeader = (): FramingFault | undefined => {
    needed = consume().readUInt32BE(0);
    if (needed === 0) return 'malformed-frame';
    if (needed > limit) return 'frame-too-large';
    inPayload = true;
    return undefined;
  };

  return {
    push: (bytes) => {
      parts.push(bytes);
      buffered += bytes.length;
      const payloads: Buffer[] = [];
      while (buffered >= needed) {
        if (inPayload) {
          payloads.push(consume());
          needed = HEADER_BYTES;
          inPayload = false;
          continue;
        }
        const fault = readHeader();
        if (fault) return fail(fault);
      }
      return ok(payloads);
    },
  };
};
