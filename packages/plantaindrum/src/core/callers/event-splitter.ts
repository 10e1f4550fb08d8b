/** Splits server-sent events into whole events. */

import { createEventCutter } from '@plantaindrum/common';

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

const parseEvent = (bytes: Buffer): WholeEvent => {
  const lines = bytes.toString('utf8').split(/\r?\n/);
  const ids = lines.filter((line) => line.startsWith('id:')).map((line) => line.slice(3).trim());
  const done = lines.some((line) => /^data: ?\[DONE\]$/.test(line));
  const id = ids.at(-1);
  return { bytes, done, ...(id !== undefined && { id }) };
};

/** Creates an empty splitter. */
export const createEventSplitter = (): EventSplitter => {
  const cutter = createEventCutter();
  return {
    push: (data) => cutter.push(data).map(parseEvent),
    pending: cutter.pending,
  };
};
