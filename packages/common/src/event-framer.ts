/** Splits a byte stream of server-sent events (WHATWG HTML, 9.2) into complete events. */

/** Buffers bytes and returns the bytes of each complete event. */
export interface EventFramer {
  /** Adds bytes; returns the events that are now complete, each with its final blank line. */
  push(data: Uint8Array): Buffer[];
  /** Number of buffered bytes of the incomplete event. */
  pendingBytes(): number;
}

const LF = 0x0a;
const CR = 0x0d;

/** Index after the blank line that ends the first event, or -1; the search starts at `from`. */
const findEventEnd = (bytes: Buffer, from: number): number => {
  for (let at = bytes.indexOf(LF, from); at >= 0; at = bytes.indexOf(LF, at + 1)) {
    const next = bytes[at + 1] === CR ? at + 2 : at + 1;
    if (bytes[next] === LF) return next + 1;
  }
  return -1;
};

/** Creates a framer with an empty buffer. */
export const createEventFramer = (): EventFramer => {
  let buffered: Buffer = Buffer.alloc(0);
  return {
    push: (data) => {
      // The blank line may start within the last three bytes that were buffered before.
      const from = Math.max(0, buffered.length - 3);
      buffered = buffered.length > 0 ? Buffer.concat([buffered, data]) : Buffer.from(data);
      const events: Buffer[] = [];
      for (let end = findEventEnd(buffered, from); end >= 0; end = findEventEnd(buffered, 0)) {
        events.push(buffered.subarray(0, end));
        buffered = buffered.subarray(end);
      }
      return events;
    },
    pendingBytes: () => buffered.length,
  };
};
