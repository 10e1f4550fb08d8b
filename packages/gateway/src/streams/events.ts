/** Splits a stream of events (text/event-stream) into whole events and reads their ids. */

import { createEventCutter } from '@plantaindrum/common';

/** One whole event as the upstream sent it, with the blank line that ends it. */
export interface StreamEvent {
  id: number | undefined;
  bytes: Buffer;
}

/** Cuts bytes into events. */
export interface EventSplitter {
  push(chunk: Buffer): StreamEvent[];
  /** Bytes of an event that has not ended. */
  pending(): number;
}

/** Largest event that is taken, in bytes; some thousand times a usual one. */
const MAX_EVENT_BYTES = 1_048_576;

const ID_LINE = /^id:[ ]?(\d{1,15})\r?$/m;

const readId = (bytes: Buffer): number | undefined => {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : undefined;
};

/** Creates a splitter for one stream. */
export const createEventSplitter = (): EventSplitter => {
  const cutter = createEventCutter();
  return {
    push: (chunk) => cutter.push(chunk).map((bytes) => ({ id: readId(bytes), bytes })),
    pending: cutter.pending,
  };
};

/** Whether an unfinished event has grown beyond what any upstream sends. */
export const isOversized = (splitter: EventSplitter): boolean =>
  splitter.pending() > MAX_EVENT_BYTES;
