/** Detects bodies that are cut off by what they contain. */

import {
  createByteBuffer,
  createEventScanner,
  createJsonScanner,
  decodeJson,
} from '@plantaindrum/common';

/** Follows a body whose length isn't known. */
export interface BodyCheck {
  push(bytes: Uint8Array): void;
  /** Whether the body as received so far can't be a complete one. */
  isCut(): boolean;
}

/** Larger JSON bodies are only checked for lists, objects and strings that don't end, in bytes. */
const MAX_PARSED_BYTES = 1_048_576;
/** The same for the number of values. */
const MAX_PARSED_VALUES = 65_536;

const createJsonCheck = (): BodyCheck => {
  const scanner = createJsonScanner();
  const body = createByteBuffer();
  let isLarge = false;
  return {
    push: (bytes) => {
      scanner.push(bytes);
      isLarge ||= body.length() + bytes.length > MAX_PARSED_BYTES;
      if (isLarge) body.take();
      else body.append(bytes);
    },
    isCut: () =>
      scanner.isOpen() ||
      (!isLarge &&
        scanner.valueCount() <= MAX_PARSED_VALUES &&
        decodeJson(body.bytes()) === undefined),
  };
};

const createEventCheck = (mayBeEmpty: boolean): BodyCheck => {
  const scanner = createEventScanner();
  let hasEvent = false;
  return {
    push: (bytes) =>
      scanner.scan(bytes, (_end, hasFields) => {
        hasEvent ||= hasFields;
      }),
    isCut: () => (!hasEvent && !mayBeEmpty) || scanner.isWithinBlock(),
  };
};

/**
 * Creates the check of a body with this content type; any other than JSON or events is never seen to be cut. A stream
 * without an event is cut, unless it is resumed: it may have ended before.
 */
export const createBodyCheck = (contentType: string, isResumed: boolean): BodyCheck => {
  const [type = ''] = contentType.toLowerCase().split(';');
  if (type.trim() === 'text/event-stream') return createEventCheck(isResumed);
  if (type.trim() === 'application/json') return createJsonCheck();
  return { push: () => {}, isCut: () => false };
};
