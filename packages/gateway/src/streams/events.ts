/** Splits an event stream (text/event-stream) into complete events and reads their ids. */

import { createEventFramer } from '@plantaindrum/common';

/** One complete event as the upstream sent it, including the blank line that ends it. */
export interface StreamEvent {
  id: number | undefined;
  bytes: Buffer;
}

/** Splits the bytes of a stream into events. */
export interface EventSplitter {
  /** Returns the events that are complete with this chunk. */
  push(chunk: Buffer): StreamEvent[];
  /** Number of bytes of an incomplete event. */
  pending(): number;
}

/** Largest event that is accepted, in bytes; about a thousand times the typical size. */
const MAX_EVENT_BYTES = 1_048_576;

const ID_LINE = /^id:[ ]?(\d{1,15})\r?$/m;

const readId = (bytes: Buffer): number | undefined => {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : undefined;
};

/** Creates a splitter for one stream. */
export const createEventSplitter = (): EventSplitter => {
  const cutter = createEventFramer();
  return {
    push: (chunk) => cutter.push(chunk).map((bytes) => ({ id: readId(bytes), bytes })),
    pending: cutter.pendingBytes,
  };
};

/** Whether an incomplete event is larger than `MAX_EVENT_BYTES`. */
export const isOversized = (splitter: EventSplitter): boolean =>
  splitter.pending() > MAX_EVENT_BYTES;
