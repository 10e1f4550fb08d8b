/** Cuts the bytes of server-sent events (WHATWG HTML, 9.2) into whole events. */

/** Collects bytes and gives out the bytes of whole events. */
export interface EventCutter {
  /** Whole events, each with the blank line that ends it. */
  push(data: Uint8Array): Buffer[];
  /** Bytes of an event that is not whole yet. */
  pending(): number;
}

const LF = 0x0a;
const CR = 0x0d;

/** Index after the blank line that ends the first event, or -1. */
const endOfEvent = (bytes: Buffer, from: number): number => {
  for (let at = bytes.indexOf(LF, from); at >= 0; at = bytes.indexOf(LF, at + 1)) {
    const next = bytes[at + 1] === CR ? at + 2 : at + 1;
    if (bytes[next] === LF) return next + 1;
  }
  return -1;
};

/** Creates an empty cutter. */
export const createEventCutter = (): EventCutter => {
  let tail: Buffer = Buffer.alloc(0);
  return {
    push: (data) => {
      // The blank line may have begun in the last three bytes of what was there before.
      const from = Math.max(0, tail.length - 3);
      tail = tail.length > 0 ? Buffer.concat([tail, data]) : Buffer.from(data);
      const events: Buffer[] = [];
      for (let end = endOfEvent(tail, from); end >= 0; end = endOfEvent(tail, 0)) {
        events.push(tail.subarray(0, end));
        tail = tail.subarray(end);
      }
      return events;
    },
    pending: () => tail.length,
  };
};
