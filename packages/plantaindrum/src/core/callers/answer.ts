/** One caller's answer, fed by one attempt after the other and written to the caller once. */

import type { ServerResponse } from 'node:http';
import type { Clock, Metrics, Refusal } from '@plantaindrum/common';
import { refusalBody, refusalEvent, refusalHeaders, refusalStatus } from '@plantaindrum/common';
import type { AnswerSink } from '../attempts/types.js';
import type { EventSplitter, WholeEvent } from './event-splitter.js';
import { createEventSplitter } from './event-splitter.js';
import { answeredHeaders } from './headers.js';
import { createRoom } from './room.js';

/** Answers up to this many bytes are held until they are whole, so that a failure can be told. */
const HELD_BYTES = 1_048_576;

/** An answer as the entry sees it. */
export interface Answer {
  /** A sink for the next attempt; the one before is no longer used. */
  attempt(): AnswerSink;
  /** Whether the caller has got a part of an answer. */
  begun(): boolean;
  /** Whether that part is a stream which another attempt can continue, and after which event. */
  resumeAfter(): string | undefined;
  /** Refuses, or breaks off what was begun; never a clean end. */
  refuse(refusal: Refusal): void;
  /** HTTP status of the upstream's answer, once known. */
  status(): number | undefined;
}

/** What an answer needs. */
export interface AnswerOptions {
  res: ServerResponse;
  clock: Clock;
  metrics: Metrics;
  /** A stream must end in `[DONE]` (OpenAI completions). */
  endsInDone: boolean;
  /** Told of each event or first byte that went to the caller. */
  onSent: () => void;
}

const isEventStream = (headers: Record<string, string>): boolean =>
  (headers['content-type'] ?? '').startsWith('text/event-stream');

const idNumber = (id: string | undefined): number | undefined =>
  id !== undefined && /^\d+$/.test(id) ? Number(id) : undefined;

/** Creates the answer to one request. */
export const createAnswer = (options: AnswerOptions): Answer => {
  const { res, clock, metrics, endsInDone, onSent } = options;
  const room = createRoom(res, clock, metrics);
  let status: number | undefined;
  let stream = false;
  let lastId: string | undefined;
  let doneSeen = false;

  const begin = (headers: Record<string, string>, length?: number): void => {
    const hasLength = length !== undefined && status !== 204 && status !== 304;
    res.writeHead(status ?? 200, {
      ...answeredHeaders(headers),
      ...(hasLength && { 'content-length': String(length) }),
    });
  };

  const writeEvent = (event: WholeEvent, headers: Record<string, string>): boolean => {
    const at = idNumber(event.id);
    const last = idNumber(lastId);
    // An upstream that resumed too early repeats events; one that resumed too late leaves a gap.
    if (at !== undefined && last !== undefined) {
      if (at <= last) {
        metrics.count('events_repeated');
        return true;
      }
      if (at > last + 1) return false;
    }
    if (event.id !== undefined) lastId = event.id;
    doneSeen ||= event.done;
    if (!res.headersSent) begin(headers);
    res.write(event.bytes);
    onSent();
    return true;
  };

  const streamSink = (headers: Record<string, string>): Pick<AnswerSink, 'write' | 'end'> => {
    const splitter: EventSplitter = createEventSplitter();
    return {
      write: async (data) => {
        const inOrder = splitter.push(data).every((event) => writeEvent(event, headers));
        await room();
        return inOrder;
      },
      end: () => {
        if (splitter.pending() > 0 || (endsInDone && !doneSeen)) return false;
        if (!res.headersSent) begin(headers);
        res.end();
        return true;
      },
    };
  };

  const heldSink = (headers: Record<string, string>): Pick<AnswerSink, 'write' | 'end'> => {
    let held: Uint8Array[] = [];
    let heldBytes = 0;
    const release = (): void => {
      held.forEach((part) => res.write(part));
      held = [];
    };
    return {
      write: async (data) => {
        held.push(data);
        heldBytes += data.length;
        if (heldBytes <= HELD_BYTES) return true;
        if (!res.headersSent) {
          begin(headers);
          onSent();
        }
        release();
        await room();
        return true;
      },
      end: () => {
        if (!res.headersSent) {
          begin(headers, heldBytes);
          onSent();
        }
        release();
        res.end();
        return true;
      },
    };
  };

  const attempt = (): AnswerSink => {
    let body: Pick<AnswerSink, 'write' | 'end'> | undefined;
    return {
      head: (nextStatus, headers) => {
        const isStream = isEventStream(headers) && nextStatus === 200;
        if (res.headersSent) {
          if (!stream || !isStream) return false;
          body = streamSink(headers);
          return true;
        }
        status = nextStatus;
        stream = isStream;
        body = isStream ? streamSink(headers) : heldSink(headers);
        return true;
      },
      write: async (data) => (body ? body.write(data) : false),
      end: () => body?.end() ?? false,
    };
  };

  const refuse = (refusal: Refusal): void => {
    if (!res.headersSent) {
      const text = JSON.stringify(refusalBody(refusal));
      res.writeHead(refusalStatus(refusal), refusalHeaders(refusal));
      res.end(text);
      return;
    }
    if (!stream) {
      res.destroy();
      return;
    }
    // The caller must see a broken stream: the event says why, the missing end that it is no end.
    res.write(refusalEvent(refusal), () => res.destroy());
  };

  return {
    attempt,
    begun: () => res.headersSent,
    resumeAfter: () => (stream ? lastId : undefined),
    refuse,
    status: () => status,
  };
};
