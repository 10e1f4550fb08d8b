/** Splits an event stream (text/event-stream) into complete events and reads their ids. */

import { createEventFramer } from '@plantaindrum/common';
import type { EventBlock } from '@plantaindrum/common';

/** A complete event as the upstream sent it, including the blank line that ends it. */
export interface StreamEvent {
  kind: 'event';
  id: number | undefined;
  bytes: Buffer;
}

/** Blank lines and comments outside of events: they are forwarded, but show no progress of the stream. */
export interface StreamFiller {
  kind: 'filler';
  bytes: Buffer;
}

/** Splits the bytes of a stream into events. */
export interface EventSplitter {
  /** Returns the parts of the stream that are complete with these bytes, in order and without a gap. */
  push(bytes: Buffer): (StreamEvent | StreamFiller)[];
  /** Number of bytes of an incomplete event. */
  pending(): number;
  /** Whether the stream has more bytes without a complete event than are accepted. */
  isOversized(): boolean;
}

/** Largest event that is accepted with what stands before it, in bytes; about a thousand times the typical size. */
const MAX_EVENT_BYTES = 1_048_576;

const ID_LINE = /^id:[ ]?(\d{1,15})\r?$/m;

const readId = (bytes: Buffer): number | undefined => {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : undefined;
};

/** Creates a splitter for one stream. */
export const createEventSplitter = (): EventSplitter => {
  const framer = createEventFramer();
  let fillerBytes = 0;

  const toPart = ({ bytes, isEvent, mayHaveId }: EventBlock): StreamEvent | StreamFiller => {
    fillerBytes = isEvent ? 0 : fillerBytes + bytes.length;
    if (!isEvent) return { kind: 'filler', bytes };
    return { kind: 'event', id: mayHaveId ? readId(bytes) : undefined, bytes };
  };

  return {
    push: (bytes) => framer.push(bytes).map(toPart),
    pending: framer.pendingBytes,
    isOversized: () => fillerBytes + framer.pendingBytes() > MAX_EVENT_BYTES,
  };
};
