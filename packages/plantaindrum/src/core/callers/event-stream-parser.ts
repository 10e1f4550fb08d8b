/** Parses a stream of server-sent events. */

import { createEventFramer } from '@plantaindrum/common';

/** One complete event, including the blank line that ends it. */
export interface ServerSentEvent {
  bytes: Buffer;
  /** Last `id` field of the event. */
  id?: string;
  /** Whether its data is `[DONE]`, the end of an OpenAI stream. */
  done: boolean;
}

/** Collects bytes and returns complete events. */
export interface EventStreamParser {
  push(data: Uint8Array): ServerSentEvent[];
  /** Number of buffered bytes of an incomplete event. */
  pendingBytes(): number;
}

const parseEvent = (bytes: Buffer): ServerSentEvent => {
  const lines = bytes.toString('utf8').split(/\r?\n/);
  const ids = lines.filter((line) => line.startsWith('id:')).map((line) => line.slice(3).trim());
  const done = lines.some((line) => /^data: ?\[DONE\]$/.test(line));
  const id = ids.at(-1);
  return { bytes, done, ...(id !== undefined && { id }) };
};

/** Creates a parser for one stream. */
export const createEventStreamParser = (): EventStreamParser => {
  const cutter = createEventFramer();
  return {
    push: (data) => cutter.push(data).map(parseEvent),
    pendingBytes: cutter.pendingBytes,
  };
};
