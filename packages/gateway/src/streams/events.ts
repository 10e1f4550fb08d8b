/** Splits a stream of events (text/event-stream) into whole events and reads their ids. */

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

const NEWLINE = 0x0a;
const RETURN = 0x0d;

/** Offset after the blank line that ends the first event, or -1. */
const endOfEvent = (buffer: Buffer): number => {
  for (let at = buffer.indexOf(NEWLINE); at !== -1; at = buffer.indexOf(NEWLINE, at + 1)) {
    if (buffer[at + 1] === NEWLINE) return at + 2;
    if (buffer[at + 1] === RETURN && buffer[at + 2] === NEWLINE) return at + 3;
  }
  return -1;
};

const ID_LINE = /^id:[ ]?(\d{1,15})\r?$/m;

const readId = (bytes: Buffer): number | undefined => {
  const match = ID_LINE.exec(bytes.toString('latin1'));
  return match ? Number(match[1]) : undefined;
};

/** Creates a splitter for one stream. */
export const createEventSplitter = (): EventSplitter => {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push: (chunk) => {
      rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const events: StreamEvent[] = [];
      for (let end = endOfEvent(rest); end !== -1; end = endOfEvent(rest)) {
        const bytes = rest.subarray(0, end);
        events.push({ id: readId(bytes), bytes });
        rest = rest.subarray(end);
      }
      return events;
    },
    pending: () => rest.length,
  };
};

/** Whether an unfinished event has grown beyond what any upstream sends. */
export const isOversized = (splitter: EventSplitter): boolean =>
  splitter.pending() > MAX_EVENT_BYTES;
