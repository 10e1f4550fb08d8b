/** Splits a byte stream of server-sent events (WHATWG HTML, 9.2) into complete events. */

import { createByteBuffer } from './byte-buffer.js';
import { createEventScanner } from './event-scanner.js';

/** Bytes of a stream up to a blank line. */
export interface EventBlock {
  bytes: Buffer;
  /** Whether this is an event; otherwise it consists of blank lines and comments, and may be several such blocks. */
  isEvent: boolean;
  /** Whether a line of the event may be an id. */
  mayHaveId: boolean;
}

/** Buffers bytes and returns complete events. */
export interface EventFramer {
  /** Adds bytes, which must not change later; returns what is now complete, in order and without a gap, each with its final blank line. */
  push(data: Uint8Array): EventBlock[];
  /** Number of buffered bytes of the incomplete event. */
  pendingBytes(): number;
}

/** Creates a framer with an empty buffer. */
export const createEventFramer = (): EventFramer => {
  const pending = createByteBuffer();
  const scanner = createEventScanner();
  return {
    push: (data) => {
      const before = pending.length();
      if (before > 0) pending.append(data);
      const bytes =
        before > 0 ? pending.bytes() : Buffer.from(data.buffer, data.byteOffset, data.length);
      const blocks: EventBlock[] = [];
      let start = 0;
      let fillerEnd = 0;
      const addBlock = (end: number, isEvent: boolean, mayHaveId: boolean): void => {
        blocks.push({ bytes: bytes.subarray(start, end), isEvent, mayHaveId });
        start = end;
      };
      const addFiller = (): void => {
        if (fillerEnd > start) addBlock(fillerEnd, false, false);
      };
      scanner.scan(data, (end, hasFields, mayHaveId) => {
        if (hasFields) {
          addFiller();
          addBlock(before + end, true, mayHaveId);
        } else fillerEnd = before + end;
      });
      addFiller();
      if (before > 0) pending.drop(start);
      else if (start < bytes.length) pending.append(bytes.subarray(start));
      return blocks;
    },
    pendingBytes: pending.length,
  };
};
