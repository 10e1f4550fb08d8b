/** Length framing: every frame is preceded by its size in bytes, as four bytes in network order. */

import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';

const HEADER_BYTES = 4;

/** Why a byte stream can't be split into frames any further. */
export type FramingFault = 'frame-too-large' | 'malformed-frame';

/** Splits a byte stream into frames. */
export interface FrameSplitter {
  /** Takes the next bytes and gives the payloads that are whole by now. */
  push(bytes: Buffer): Result<Buffer[], FramingFault>;
}

/** Puts the length before a payload. */
export const frameBytes = (payload: Uint8Array): Buffer => {
  const framed = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  framed.writeUInt32BE(payload.length, 0);
  framed.set(payload, HEADER_BYTES);
  return framed;
};

/** Creates a splitter that refuses frames above `limit` bytes before it buffers them. */
export const createFrameSplitter = (limit: number): FrameSplitter => {
  let parts: Buffer[] = [];
  let buffered = 0;
  let needed = HEADER_BYTES;
  let inPayload = false;

  const take = (): Buffer => {
    const joined = parts.length === 1 ? (parts[0] as Buffer) : Buffer.concat(parts, buffered);
    const taken = joined.subarray(0, needed);
    buffered -= needed;
    parts = buffered > 0 ? [joined.subarray(needed)] : [];
    return taken;
  };

  const readHeader = (): FramingFault | undefined => {
    needed = take().readUInt32BE(0);
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
          payloads.push(take());
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
