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
  attach(link: Link, received: { head: boolean; bytes: number }): boolean;
  detach(): void;
  /** Drops the bytes that are kept; only the outcome stays. */
  dropBytes(): void;
  link(): Link | undefined;
  /** Bytes that are kept. */
  bufferedBytes(): number;
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
  let bytesDropped = false;
  let acknowledged = 0;
  let sent = 0;
  let written = 0;
  let resumeWriter: (() => void) | undefined;

  const hasCapacity = (): boolean => bytesDropped || written - acknowledged < INITIAL_CREDIT_BYTES;

  const resumeWriterIfPossible = (): void => {
    if (!hasCapacity()) return;
    resumeWriter?.();
    resumeWriter = undefined;
  };

  const sendOutcome = (to: Link, end: AttemptOutcome): void => {
    outcomeSent = true;
    if (end.outcome === 'answered') to.send({ t: 'end', id, length: written, load: load() });
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
    const allowed = Math.min(MAX_CHUNK_BYTES, acknowledged + INITIAL_CREDIT_BYTES - sent);
    const until = Math.min(segment.data.length, from + allowed);
    to.send({ t: 'chunk', id, offset: sent, data: segment.data.subarray(from, until) });
    sent += until - from;
    if (until === segment.data.length) nextSegment += 1;
  };

  /** Sends the next frame that may go; false when there is none. */
  const sendNextFrame = (to: Link): boolean => {
    if (head && !headSent) {
      headSent = true;
      to.send({ t: 'head', id, ...head });
      return true;
    }
    if (sent < written && !bytesDropped) {
      if (sent - acknowledged >= INITIAL_CREDIT_BYTES) return false;
      sendSegment(to);
      return true;
    }
    if (outcome && !outcomeSent) sendOutcome(to, outcome);
    return false;
  };

  const pump = async (): Promise<void> => {
    if (pumping) return;
    pumping = true;
    for (let to = link; to && sendNextFrame(to); to = link) await to.drained();
    pumping = false;
  };

  const acknowledge = (until: number): void => {
    acknowledged = Math.max(acknowledged, Math.min(until, sent));
    const firstUnacknowledged = segments.findIndex(
      ({ offset, data }) => offset + data.length > acknowledged,
    );
    const dropped = firstUnacknowledged < 0 ? segments.length : firstUnacknowledged;
    segments = segments.slice(dropped);
    nextSegment = Math.max(0, nextSegment - dropped);
    resumeWriterIfPossible();
  };

  const rewind = (until: number): void => {
    acknowledge(until);
    sent = until;
    const firstUnsent = segments.findIndex(({ offset, data }) => offset + data.length > until);
    nextSegment = firstUnsent < 0 ? segments.length : firstUnsent;
  };

  return {
    head: (status, headers) => {
      head = { status, headers };
      void pump();
    },
    write: (data) => {
      written += data.length;
      if (bytesDropped) return undefined;
      segments.push({ offset: written - data.length, data });
      void pump();
      if (hasCapacity()) return undefined;
      return new Promise((resolve) => {
        resumeWriter = resolve;
      });
    },
    finish: (end) => {
      outcome = end;
      void pump();
    },
    credit: (bytes) => {
      acknowledge(acknowledged + bytes);
      void pump();
    },
    attach: (to, received) => {
      if (received.bytes > sent) return false;
      if (bytesDropped ? received.bytes < written : received.bytes < acknowledged) return false;
      link = to;
      headSent = received.head;
      outcomeSent = false;
      rewind(received.bytes);
      void pump();
      return true;
    },
    detach: () => {
      link = undefined;
    },
    dropBytes: () => {
      bytesDropped = true;
      segments = [];
      resumeWriterIfPossible();
    },
    link: () => link,
    bufferedBytes: () => (bytesDropped ? 0 : written - acknowledged),
    delivered: () => outcomeSent,
  };
};
