/** The response to one caller, written from the responses of one or more attempts. */

import type { ServerResponse } from 'node:http';
import type { Clock, Metrics, Refusal } from '@plantaindrum/common';
import {
  abortResponse,
  createByteBuffer,
  refusalBody,
  refusalEvent,
  refusalHeaders,
  refusalStatus,
} from '@plantaindrum/common';
import type { ResponseSink } from '../attempts/types.js';
import { createDrainWait } from './drain-wait.js';
import type { EventStreamParser, ServerSentEvent } from './event-stream-parser.js';
import { createEventStreamParser } from './event-stream-parser.js';
import { responseHeaders } from './headers.js';

/**
 * Responses up to this size are buffered until complete, so that a failure becomes a refusal; a stream may have as many
 * bytes without a complete event.
 */
const MAX_BUFFERED_BYTES = 1_048_576;

/** The response to one request of a caller. */
export interface CallerResponse {
  /** Creates the sink of the next attempt; the previous sink must not be used any more. */
  createSink(): ResponseSink;
  /** Whether a part of a response has been sent to the caller. */
  hasStarted(): boolean;
  /** Id of the last event sent; undefined unless another attempt can resume the stream after it. */
  resumeAfter(): string | undefined;
  /** Sends the refusal, or aborts a response that has started; never ends it cleanly. */
  refuse(refusal: Refusal): void;
  /** HTTP status of the upstream's response, once known. */
  status(): number | undefined;
}

/** Options of a response to a caller. */
export interface CallerResponseOptions {
  res: ServerResponse;
  clock: Clock;
  metrics: Metrics;
  /** Whether a stream is complete only after `[DONE]` (OpenAI completions). */
  requiresDone: boolean;
  /** Called when this many events of a stream were sent, or when the first byte of another response was sent. */
  onSent: (events?: number) => void;
}

const isEventStream = (headers: Record<string, string>): boolean =>
  (headers['content-type'] ?? '').startsWith('text/event-stream');

const parseEventNumber = (id: string | undefined): number | undefined =>
  id !== undefined && /^\d+$/.test(id) ? Number(id) : undefined;

/** Creates the response to one request. */
export const createCallerResponse = (options: CallerResponseOptions): CallerResponse => {
  const { res, clock, metrics, requiresDone, onSent } = options;
  const waitForDrain = createDrainWait(res, clock, metrics);
  let status: number | undefined;
  let isStreaming = false;
  let lastEventId: string | undefined;
  let doneSeen = false;

  const writeHead = (headers: Record<string, string>, length?: number): void => {
    const hasLength = length !== undefined && status !== 204 && status !== 304;
    res.writeHead(status ?? 200, {
      ...responseHeaders(headers),
      ...(hasLength && { 'content-length': String(length) }),
    });
  };

  /** Decides whether an event comes next in the stream, or is one that was sent before. */
  const checkOrder = (event: ServerSentEvent): 'next' | 'repeated' | 'gap' => {
    const eventNumber = parseEventNumber(event.id);
    const lastNumber = parseEventNumber(lastEventId);
    // An upstream that resumes too early repeats events; one that resumes too late leaves a gap.
    if (eventNumber !== undefined && lastNumber !== undefined) {
      if (eventNumber <= lastNumber) return 'repeated';
      if (eventNumber > lastNumber + 1) return 'gap';
    }
    if (event.id !== undefined) lastEventId = event.id;
    doneSeen ||= event.done;
    return 'next';
  };

  const streamSink = (headers: Record<string, string>): Pick<ResponseSink, 'write' | 'end'> => {
    const parser: EventStreamParser = createEventStreamParser();
    const unsent = createByteBuffer();
    let bytesWithoutEvent = 0;

    /** Takes the events of these bytes that are to be sent; false when events are missing before one of them. */
    const takeEvents = (data: Uint8Array): boolean => {
      let events = 0;
      const isInOrder = parser.push(data).every((event) => {
        const order = event.isEvent ? checkOrder(event) : 'next';
        if (order === 'repeated') metrics.count('events_repeated');
        if (order !== 'next') return order === 'repeated';
        unsent.append(event.bytes);
        if (event.isEvent) events += 1;
        return true;
      });
      bytesWithoutEvent = events > 0 ? 0 : bytesWithoutEvent + data.length;
      // The head is sent with the first event: until then a failure can be answered with a refusal.
      if (events === 0 && !res.headersSent) return isInOrder;
      if (!res.headersSent) writeHead(headers);
      if (unsent.length() > 0) res.write(unsent.take());
      if (events > 0) onSent(events);
      return isInOrder;
    };

    return {
      write: async (data) => {
        const isInOrder = takeEvents(data);
        await waitForDrain();
        return isInOrder && bytesWithoutEvent <= MAX_BUFFERED_BYTES;
      },
      end: () => {
        if (parser.pendingBytes() > 0 || (requiresDone && !doneSeen)) return false;
        if (!res.headersSent) writeHead(headers);
        res.end(unsent.take());
        return true;
      },
    };
  };

  const bufferedSink = (headers: Record<string, string>): Pick<ResponseSink, 'write' | 'end'> => {
    const buffered = createByteBuffer();
    return {
      write: async (data) => {
        buffered.append(data);
        if (!res.headersSent && buffered.length() <= MAX_BUFFERED_BYTES) return true;
        if (!res.headersSent) {
          writeHead(headers);
          onSent();
        }
        res.write(buffered.take());
        await waitForDrain();
        return true;
      },
      end: () => {
        if (!res.headersSent) {
          writeHead(headers, buffered.length());
          onSent();
        }
        res.end(buffered.take());
        return true;
      },
    };
  };

  const createSink = (): ResponseSink => {
    let body: Pick<ResponseSink, 'write' | 'end'> | undefined;
    return {
      head: (nextStatus, headers) => {
        const isStream = isEventStream(headers) && nextStatus === 200;
        if (res.headersSent) {
          if (!isStreaming || !isStream) return false;
          body = streamSink(headers);
          return true;
        }
        status = nextStatus;
        isStreaming = isStream;
        body = isStream ? streamSink(headers) : bufferedSink(headers);
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
    if (!isStreaming) {
      abortResponse(res);
      return;
    }
    // The event carries the reason; ending the connection shows that the stream is incomplete.
    res.write(refusalEvent(refusal), () => abortResponse(res));
  };

  return {
    createSink,
    hasStarted: () => res.headersSent,
    resumeAfter: () => (isStreaming ? lastEventId : undefined),
    refuse,
    status: () => status,
  };
};
