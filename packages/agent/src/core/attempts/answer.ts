/**
 * Sends the answer of one attempt to its entry. Bytes are buffered until the entry grants credit for
 * them, so that a lost link loses no data: on its next link the entry reports how much it has
 * received, and sending resumes from there.
 */

import { createByteBuffer } from '@plantaindrum/common';
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
  /** Queues bytes; a returned promise resolves once the buffer accepts more. */
  write(data: Uint8Array): Promise<void> | undefined;
  /** Sends the outcome of the attempt after all bytes written before. */
  finish(outcome: AttemptOutcome): void;
  /** The entry has processed `bytes` more. */
  credit(bytes: number): void;
  /** Resumes over this link after what the entry has received; false if the next bytes were dropped. */
  attach(link: Link, received: { head: boolean; bytes: number }): boolean;
  detach(): void;
  /** Drops the buffered bytes and keeps only the outcome. */
  dropBytes(): void;
  link(): Link | undefined;
  /** Number of bytes for which the entry has not granted credit yet. */
  bufferedBytes(): number;
  /** Whether everything, including the outcome, has been sent. */
  delivered(): boolean;
}

/** Options of `createAnswer`. */
export interface AnswerOptions {
  id: AttemptId;
  /** The link of the dispatch; undefined for an attempt that only has a tombstone. */
  link: Link | undefined;
  load: () => Load;
  /** Called when the outcome has been sent. */
  onDelivered: () => void;
}

/** Creates an empty answer. */
export const createAnswer = (options: AnswerOptions): Answer => {
  const { id, load, onDelivered } = options;
  let { link } = options;
  let head: { status: number; headers: Record<string, string> } | undefined;
  let outcome: AttemptOutcome | undefined;
  /** Bytes from position `acknowledged` on. */
  const buffered = createByteBuffer();
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

  const sendOutcome = (target: Link, result: AttemptOutcome): void => {
    outcomeSent = true;
    if (result.outcome === 'answered') target.send({ t: 'end', id, length: written, load: load() });
    else if (result.outcome === 'unknown') {
      target.send({ t: 'unknown', id, reason: result.reason, load: load() });
    } else {
      const { reason, retryAfterMs } = result;
      target.send({ t: 'not-run', id, reason, retryAfterMs, load: load() });
    }
    onDelivered();
  };

  const sendChunk = (target: Link): void => {
    const allowed = Math.min(MAX_CHUNK_BYTES, acknowledged + INITIAL_CREDIT_BYTES - sent);
    const start = sent - acknowledged;
    const data = buffered.bytes().subarray(start, start + allowed);
    target.send({ t: 'chunk', id, offset: sent, data });
    sent += data.length;
  };

  /** Sends the next frame that credit allows; false if nothing more can be sent now. */
  const sendNextFrame = (target: Link): boolean => {
    if (head && !headSent) {
      headSent = true;
      target.send({ t: 'head', id, ...head });
      return true;
    }
    if (sent < written && !bytesDropped) {
      if (sent - acknowledged >= INITIAL_CREDIT_BYTES) return false;
      sendChunk(target);
      return true;
    }
    if (outcome && !outcomeSent) sendOutcome(target, outcome);
    return false;
  };

  const pump = async (): Promise<void> => {
    if (pumping) return;
    pumping = true;
    for (let target = link; target && sendNextFrame(target); target = link) await target.drained();
    pumping = false;
  };

  const acknowledge = (position: number): void => {
    const next = Math.max(acknowledged, Math.min(position, sent));
    if (!bytesDropped) buffered.drop(next - acknowledged);
    acknowledged = next;
    resumeWriterIfPossible();
  };

  const rewind = (position: number): void => {
    acknowledge(position);
    sent = position;
  };

  return {
    head: (status, headers) => {
      head = { status, headers };
      void pump();
    },
    write: (data) => {
      written += data.length;
      if (bytesDropped) return undefined;
      buffered.append(data);
      void pump();
      if (hasCapacity()) return undefined;
      return new Promise((resolve) => {
        resumeWriter = resolve;
      });
    },
    finish: (result) => {
      outcome = result;
      void pump();
    },
    credit: (bytes) => {
      acknowledge(acknowledged + bytes);
      void pump();
    },
    attach: (target, received) => {
      if (received.bytes > sent) return false;
      if (bytesDropped ? received.bytes < written : received.bytes < acknowledged) return false;
      link = target;
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
      buffered.take();
      resumeWriterIfPossible();
    },
    link: () => link,
    bufferedBytes: () => (bytesDropped ? 0 : written - acknowledged),
    delivered: () => outcomeSent,
  };
};
