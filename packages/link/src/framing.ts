/** Length-prefixed framing: every payload is preceded by its size in bytes, as four bytes in network order. */

import type { Result } from '@plantaindrum/common';
import { createByteBuffer, fail, ok } from '@plantaindrum/common';

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

/**
 * Creates a splitter that rejects frames above `maxBytes` without buffering them; the first one may have another limit.
 */
export const createFrameSplitter = (
  maxBytes: number,
  maxFirstBytes: number = maxBytes,
): FrameSplitter => {
  const buffered = createByteBuffer();
  let payloadBytes: number | undefined;
  let limit = maxFirstBytes;

  const readHeader = (): FramingFault | undefined => {
    payloadBytes = buffered.bytes().readUInt32BE(0);
    buffered.drop(HEADER_BYTES);
    if (payloadBytes === 0) return 'malformed-frame';
    return payloadBytes > limit ? 'frame-too-large' : undefined;
  };

  const readPayload = (length: number): Buffer => {
    const payload = buffered.bytes().subarray(0, length);
    buffered.drop(length);
    payloadBytes = undefined;
    limit = maxBytes;
    return payload;
  };

  return {
    push: (bytes) => {
      buffered.append(bytes);
      const payloads: Buffer[] = [];
      while (buffered.length() >= (payloadBytes ?? HEADER_BYTES)) {
        if (payloadBytes === undefined) {
          const fault = readHeader();
          if (fault) return fail(fault);
        } else payloads.push(readPayload(payloadBytes));
      }
      return ok(payloads);
    },
  };
};
