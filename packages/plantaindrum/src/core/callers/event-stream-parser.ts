/** Parses a stream of server-sent events. */

import { createEventFramer } from '@plantaindrum/common';
import type { EventBlock } from '@plantaindrum/common';

/** One complete event, including the blank line that ends it, or blank lines and comments between events. */
export interface ServerSentEvent {
  bytes: Buffer;
  /** Whether it is an event. */
  isEvent: boolean;
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

const DONE_LINE = /^data: ?\[DONE\]\r?$/m;

const lastId = (bytes: Buffer): string | undefined =>
  bytes
    .toString('utf8')
    .split(/\r?\n/)
    .findLast((line) => line.startsWith('id:'))
    ?.slice('id:'.length)
    .trim();

const parseEvent = ({ bytes, isEvent, mayHaveId }: EventBlock): ServerSentEvent => {
  if (!isEvent) return { bytes, isEvent, done: false };
  const id = mayHaveId ? lastId(bytes) : undefined;
  const done = DONE_LINE.test(bytes.toString('latin1'));
  return { bytes, isEvent, done, ...(id !== undefined && { id }) };
};

/** Creates a parser for one stream. */
export const createEventStreamParser = (): EventStreamParser => {
  const framer = createEventFramer();
  return {
    push: (data) => framer.push(data).map(parseEvent),
    pendingBytes: framer.pendingBytes,
  };
};
