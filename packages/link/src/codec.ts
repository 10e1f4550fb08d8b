/** Encodes and decodes frames and hellos as CBOR. */

import { Encoder } from 'cbor-x';
import type { Result } from '@plantaindrum/common';
import { fail, ok } from '@plantaindrum/common';
import { hasAtMostItems } from './cbor-items.js';
import { addLengthPrefix } from './framing.js';
import type { Frame, Hello } from './messages.js';
import { isFrame, isHello } from './shapes.js';

/** Plain CBOR maps and byte strings, without shared record structures, so that each frame can be decoded on its own. */
const cbor = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });

/** Data items of a frame: each takes up to some sixty bytes once it is decoded. */
const MAX_ITEMS = 262_144;

const decode = (payload: Buffer): unknown => {
  if (!hasAtMostItems(payload, MAX_ITEMS)) return undefined;
  try {
    return cbor.decode(payload);
  } catch {
    return undefined;
  }
};

/** The frame that was encoded last: a broadcast sends one frame on all links in a row. */
let lastEncoded: { frame: Frame | Hello; bytes: Buffer } | undefined;

/** Encodes a frame with its length prefix. A frame must not be changed once it has been passed here. */
export const encodeFrame = (frame: Frame | Hello): Buffer => {
  if (lastEncoded?.frame !== frame) {
    lastEncoded = { frame, bytes: addLengthPrefix(cbor.encode(frame)) };
  }
  return lastEncoded.bytes;
};

/** Decodes a frame's payload. */
export const decodeFrame = (payload: Buffer): Result<Frame, 'malformed-frame'> => {
  const value = decode(payload);
  return isFrame(value) ? ok(value) : fail('malformed-frame');
};

/** Decodes the first payload of a link, which must be a hello of the same major version. */
export const decodeHello = (
  payload: Buffer,
): Result<Hello, 'malformed-frame' | 'version-mismatch'> => {
  const value = decode(payload);
  if (!isHello(value)) return fail('malformed-frame');
  return value.v === 1 ? ok({ ...value, v: 1 }) : fail('version-mismatch');
};
