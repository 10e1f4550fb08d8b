/**
 * The answer of one attempt on its way to the entry. Bytes are kept until the entry has granted
 * credit for them, so that a lost link costs nothing: the entry says on its next link how much it
 * holds, and the rest is sent from there.
 */

import type { AgentReason, AttemptId, Link, Load } from '@plantaindrum/link';
import { INITIAL_CREDIT_BYTES } from '@plantaindrum/link';

const MAX_CHUNK_BYTES = 65_536;

/** How an attempt ended. */
export type AttemptOutcome =
  | { outcome: 'answered' }
  | { outcome: 'not-run'; reason: AgentReason; retryAfterMs: number }
  | { outcome: 'unknown'; reason: AgentReason };

/** The answer of one attempt. */
export interface Answer {
  head(status: number, headers: Record<string, string>): void;
  /** Takes bytes; a promise resolves once there is room for more. */
  write(data: Uint8Array): Promise<void> | undefined;
  /** Says how the attempt ended, after every byte before. */
  finish(outcome: AttemptOutcome): void;
  /** The entry holds `bytes` more. */
  credit(bytes: number): void;
  /** Goes on over this link from what the entry holds; false when those bytes are gone. */
  attach(link: Link, holds: { head: boolean; bytes: number }): boolean;
  detach(): void;
  /** Drops the bytes that are kept; only the outcome stays. */
  forgetBytes(): void;
  link(): Link | undefined;
  /** Bytes that are kept. */
  kept(): number;
  /** The entry has been sent everything, the outcome included. */
  delivered(): boolean;
}

interface Segment {
  offset: number;
  data: Uint8Array;
}

/** What an answer needs. */
export interface AnswerOptions {
  id: AttemptId;
  /** The link that the dispatch came over; none for an attempt that only has a tombstone. */
  link: Link | undefined;
  load: () => Load;
  /** Told when the outcome has been sent. */
  onDelivered: () => void;
}

/** Creates an empty answer. */
export const createAnswer = (options: AnswerOptions): Answer => {
  const { id, load, onDelivered } = options;
  let { link } = options;
  let head: { status: number; headers: Record<string, string> } | undefined;
  let outcome: AttemptOutcome | undefined;
  let segments: Segment[] = [];
  let nextSegment = 0;
  let headSent = false;
  let outcomeSent = false;
  let pumping = false;
  let forgotten = false;
  let acked = 0;
  let sent = 0;
  let produced = 0;
  let releaseWriter: (() => void) | undefined;

  const hasRoom = (): boolean => forgotten || produced - acked < INITIAL_CREDIT_BYTES;

  const letWriterGoOn = (): void => {
    if (!hasRoom()) return;
    releaseWriter?.();
    releaseWriter = undefined;
  };

  const sendOutcome = (to: Link, end: AttemptOutcome): void => {
    outcomeSent = true;
    if (end.outcome === 'answered') to.send({ t: 'end', id, length: produced, load: load() });
    else if (end.outcome === 'unknown') {
      to.send({ t: 'unknown', id, reason: end.reason, load: load() });
    } else {
      const { reason, retryAfterMs } = end;
      to.send({ t: 'not-run', id, reason, retryAfterMs, load: load() });
    }
    onDelivered();
  };

  const sendSegment = (to: Link): void => {
    const segment = segments[nextSegment];
    if (!segment) return;
    const from = sent - segment.offset;
    const allowed = Math.min(MAX_CHUNK_BYTES, acked + INITIAL_CREDIT_BYTES - sent);
    const until = Math.min(segment.data.length, from + allowed);
    to.send({ t: 'chunk', id, offset: sent, data: segment.data.subarray(from, until) });
    sent += until - from;
    if (until === segment.data.length) nextSegment += 1;
  };

  /** Sends the next frame that may go; false when there is none. */
  const step = (to: Link): boolean => {
    if (head && !headSent) {
      headSent = true;
      to.send({ t: 'head', id, ...head });
      return true;
    }
    if (sent < produced && !forgotten) {
      if (sent - acked >= INITIAL_CREDIT_BYTES) return false;
      sendSegment(to);
      return true;
    }
    if (outcome && !outcomeSent) sendOutcome(to, outcome);
    return false;
  };

  const pump = async (): Promise<void> => {
    if (pumping) return;
    pumping = true;
    for (let to = link; to && step(to); to = link) await to.drained();
    pumping = false;
  };

  const acknowledge = (until: number): void => {
    acked = Math.max(acked, Math.min(until, sent));
    const firstKept = segments.findIndex(({ offset, data }) => offset + data.length > acked);
    const dropped = firstKept < 0 ? segments.length : firstKept;
    segments = segments.slice(dropped);
    nextSegment = Math.max(0, nextSegment - dropped);
    letWriterGoOn();
  };

  const rewind = (until: number): void => {
    acknowledge(until);
    sent = until;
    const found = segments.findIndex(({ offset, data }) => offset + data.length > until);
    nextSegment = found < 0 ? segments.length : found;
  };

  return {
    head: (status, headers) => {
      head = { status, headers };
      void pump();
    },
    write: (data) => {
      produced += data.length;
      if (forgotten) return undefined;
      segments.push({ offset: produced - data.length, data });
      void pump();
      if (hasRoom()) return undefined;
      return new Promise((resolve) => {
        releaseWriter = resolve;
      });
    },
    finish: (end) => {
      outcome = end;
      void pump();
    },
    credit: (bytes) => {
      acknowledge(acked + bytes);
      void pump();
    },
    attach: (to, holds) => {
      if (holds.bytes > sent) return false;
      if (forgotten ? holds.bytes < produced : holds.bytes < acked) return false;
      link = to;
      headSent = holds.head;
      outcomeSent = false;
      rewind(holds.bytes);
      void pump();
      return true;
    },
    detach: () => {
      link = undefined;
    },
    forgetBytes: () => {
      forgotten = true;
      segments = [];
      letWriterGoOn();
    },
    link: () => link,
    kept: () => (forgotten ? 0 : produced - acked),
    delivered: () => outcomeSent,
  };
};
