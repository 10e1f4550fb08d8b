/** Splits server-sent events into whole events. */

import { createEventCutter } from '@plantaindrum/common';

/** One whole event with its blank line. */
export interface ServerSentEvent {
  bytes: Buffer;
  /** Last `id` field of the event. */
  id?: string;
  /** Whether its data is `[DONE]`, the end of an OpenAI stream. */
  done: boolean;
}

/** Collects bytes and gives out whole events. */
export interface EventStreamParser {
  push(data: Uint8Array): ServerSentEvent[];
  /** Bytes of an event that is not whole yet. */
  pendingBytes(): number;
}

const parseEvent = (bytes: Buffer): ServerSentEvent => {
  const lines = bytes.toString('utf8').split(/\r?\n/);
  const ids = lines.filter((line) => line.startsWith('id:')).map((line) => line.slice(3).trim());
  const done = lines.some((line) => /^data: ?\[DONE\]$/.test(line));
  const id = ids.at(-1);
  return { bytes, done, ...(id !== undefined && { id }) };
};

/** Creates an empty splitter. */
export const createEventStreamParser = (): EventStreamParser => {
  const cutter = createEventCutter();
  return {
    push: (data) => cutter.push(data).map(parseEvent),
    pendingBytes: cutter.pending,
  };
};
