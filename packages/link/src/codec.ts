/** Frames and hellos to bytes and back, by cbor-x. */

import { Encoder } from 'cbor-x';
import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import { frameBytes } from './framing.js';
import type { Frame, Hello } from './messages.js';
import { isFrame, isHello } from './shapes.js';

/** Plain CBOR maps and byte strings: no shared records, so that each frame decodes on its own. */
const cbor = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

const decode = (payload: Buffer): unknown => {
  try {
    return cbor.decode(payload);
  } catch {
    return undefined;
  }
};

/** Encodes a frame with its length. */
export const encodeFrame = (frame: Frame | Hello): Buffer => frameBytes(cbor.encode(frame));

/** Decodes a frame's payload. */
export const decodeFrame = (payload: Buffer): Result<Frame, 'malformed-frame'> => {
  const value = decode(payload);
  return isFrame(value) ? ok(value) : fail('malformed-frame');
};

/** Decodes the first payload of a link, which must be a hello of this major version. */
export const decodeHello = (
  payload: Buffer,
): Result<Hello, 'malformed-frame' | 'version-mismatch'> => {
  const value = decode(payload);
  if (!isHello(value)) return fail('malformed-frame');
  return value.v === 1 ? ok({ ...value, v: 1 }) : fail('version-mismatch');
};
