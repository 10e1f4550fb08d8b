/** Splits server-sent events (WHATWG HTML, 9.2) into whole events. */

/** One whole event with its blank line. */
export interface WholeEvent {
  bytes: Buffer;
  /** Last `id` field of the event. */
  id?: string;
  /** Whether its data is `[DONE]`, the end of an OpenAI stream. */
  done: boolean;
}

/** Collects bytes and gives out whole events. */
export interface EventSplitter {
  push(data: Uint8Array): WholeEvent[];
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

const parseEvent = (bytes: Buffer): WholeEvent => {
  const lines = bytes.toString('utf8').split(/\r?\n/);
  const ids = lines.filter((line) => line.startsWith('id:')).map((line) => line.slice(3).trim());
  const done = lines.some((line) => /^data: ?\[DONE\]$/.test(line));
  const id = ids.at(-1);
  return { bytes, done, ...(id !== undefined && { id }) };
};

/** Creates an empty splitter. */
export const createEventSplitter = (): EventSplitter => {
  let tail: Buffer = Buffer.alloc(0);
  return {
    push: (data) => {
      // The blank line may have begun in the last three bytes of what was there before.
      const from = Math.max(0, tail.length - 3);
      tail = tail.length > 0 ? Buffer.concat([tail, data]) : Buffer.from(data);
      const events: WholeEvent[] = [];
      for (let end = endOfEvent(tail, from); end >= 0; end = endOfEvent(tail, 0)) {
        events.push(parseEvent(tail.subarray(0, end)));
        tail = tail.subarray(end);
      }
      return events;
    },
    pending: () => tail.length,
  };
};
