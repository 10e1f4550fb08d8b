/**
 * Serves a stream of events: forwards them as they arrive, and resumes the stream at another upstream if it breaks off.
 */

import { hasFraming } from '@plantaindrum/exchange';
import { createByteBuffer } from '@plantaindrum/common';
import { createEventSplitter } from '../streams/events.js';
import type { StreamEvent } from '../streams/events.js';
import type { Attempt, AttemptResponse } from './attempt.js';
import { endToEnd, sendHead } from './response-headers.js';
import { readFullResponse } from './full-response.js';
import type { AttemptOutcome } from './full-response.js';
import { createRetryLoop } from './retry-loop.js';
import type { TryMove } from './retry-loop.js';
import type { CallerRequest, ServingDeps } from './types.js';

/**
 * Longest time without an event after a stream's first one, in ms, while other streams of the service have events.
 * It is well above the time of a group's pass, and well below the two seconds after which callers give up.
 */
const EVENT_TIMEOUT_MS = 900;
/** Other streams of the service count as active if one of them had an event within this time, in ms. */
const OTHERS_ACTIVE_MS = 250;
/** How often a stream is checked for a stall, in ms. */
const WATCH_INTERVAL_MS = 150;
/** Delay before a stream is resumed at another upstream, in ms: the group of its upstream may be re-forming. */
const RESUME_DELAY_MS = 60;
/** Bytes that are buffered for a slow caller before its stream is aborted; bounds the memory. */
const MAX_BUFFERED_BYTES = 1_048_576;
/** Events of one read whose times are recorded: the others arrive at the same time. */
const MAX_TIMED_EVENTS = 16;

const isStreamResponse = ({ status, res }: AttemptResponse): boolean =>
  status === 200 && (res.headers['content-type'] ?? '').startsWith('text/event-stream');

/** Serves one stream; resolves when it has ended, completely or not. */
export const serveStream = (request: CallerRequest, deps: ServingDeps): Promise<void> => {
  const { route, res, service } = request;
  const { clock, metrics, log, admission, streamAdmission, directory, groups } = deps;
  const pace = admission.eventTimings(service);
  let lastEventAt: number | undefined;
  /** When the current attempt was sent (monotonic, ms); undefined once it has had an event. */
  let firstEventAwaitedSince: number | undefined;

  /** Moves the stream to another upstream if its upstream is a straggler, which delays all streams of the service. */
  const moveIfStraggler = ({ upstream }: Attempt, tryMove: TryMove): boolean => {
    if (!directory.isStraggler(upstream) || !tryMove()) return false;
    metrics.count('gateway_streams_moved');
    const { instance } = upstream.record;
    log.event('stream-moved', { id: request.id, upstream: instance, pace: upstream.slowdown() });
    return true;
  };

  /** Aborts an attempt whose upstream sends nothing while other streams of the service have events. */
  const watchAttempt = (attempt: Attempt, sentAt: number, tryMove: TryMove): (() => void) => {
    let stopTimer = (): void => {};
    firstEventAwaitedSince = sentAt;
    request.ticket?.recordBegun();
    const check = (): void => {
      const quiet = clock.monotonic() - Math.max(sentAt, lastEventAt ?? sentAt);
      if (moveIfStraggler(attempt, tryMove)) return;
      const isAwaited = firstEventAwaitedSince !== undefined;
      const limitMs = isAwaited ? pace.firstEventTimeoutMs() : EVENT_TIMEOUT_MS;
      if (quiet > limitMs && pace.silenceMs() < OTHERS_ACTIVE_MS && route.resumable) {
        const inputs = { quiet, limitMs, isAwaited, othersMs: pace.silenceMs() };
        log.event('upstream-silent', { id: request.id, ...inputs });
        if (isAwaited) pace.recordTimeout(quiet);
        attempt.upstream.recordFailure('unreachable');
        attempt.abort();
        return;
      }
      stopTimer = clock.after(WATCH_INTERVAL_MS, check);
    };
    stopTimer = clock.after(WATCH_INTERVAL_MS, check);
    const stopListening = directory.onSlowdownChange(() => {
      moveIfStraggler(attempt, tryMove);
    });
    return () => {
      stopTimer();
      stopListening();
    };
  };

  const loop = createRetryLoop(
    request,
    {
      mayRepeat: route.resumable,
      attemptTimeoutMs: () => undefined,
      retryDelayMs: () => (lastEventAt === undefined ? 0 : RESUME_DELAY_MS),
      watchAttempt,
    },
    deps,
  );

  const recordEventTime = ({ upstream }: Attempt): void => {
    const now = clock.monotonic();
    const hasPause = firstEventAwaitedSince === undefined && lastEventAt !== undefined;
    groups.recordEvent(upstream, hasPause ? now - (lastEventAt ?? now) : undefined);
    if (firstEventAwaitedSince !== undefined) {
      pace.recordFirstEvent(now - firstEventAwaitedSince);
      streamAdmission.recordFirstEvent(upstream, now - firstEventAwaitedSince);
    }
    firstEventAwaitedSince = undefined;
    if (lastEventAt === undefined) {
      metrics.record('gateway_first_event_ms', now - request.arrivedAt);
    } else {
      pace.recordPause(now - lastEventAt);
      streamAdmission.recordPause(upstream, now - lastEventAt);
      metrics.record('gateway_pause_ms', now - lastEventAt);
    }
    lastEventAt = now;
  };

  const sendHeadOnce = ({ status, res: answer }: AttemptResponse): void => {
    if (!res.headersSent) sendHead(res, status, endToEnd(answer), deps.lifecycle.isStopping());
  };

  /** Decides whether an event comes next in the stream, or is one that was forwarded before. */
  const checkOrder = ({ id }: StreamEvent): 'next' | 'repeated' | 'gap' => {
    const lastEventId = loop.resumeAfter;
    if (id === undefined) return 'next';
    if (lastEventId !== undefined && id <= lastEventId) return 'repeated';
    // Parts of two runs with a gap between them must not look like one stream.
    if (lastEventId !== undefined && id > lastEventId + 1) return 'gap';
    loop.resumeAfter = id;
    return 'next';
  };

  /** Forwards a stream's events; resolves to the fault that ended it, or undefined when it is complete. */
  const forwardEvents = async (
    attempt: Attempt,
    response: AttemptResponse,
  ): Promise<string | undefined> => {
    const splitter = createEventSplitter();
    /** Bytes to forward; until the first event these are not sent, so that a failure can be answered with an error status. */
    const unsent = createByteBuffer();
    let fault: string | undefined;

    /** Takes what is to be forwarded of the events in these bytes; returns the number of these events. */
    const takeEvents = (bytes: Buffer): number => {
      let events = 0;
      splitter.push(bytes).every((part) => {
        const order = part.kind === 'event' ? checkOrder(part) : 'next';
        if (order === 'gap') fault = 'event-missing';
        else if (order === 'repeated') metrics.count('gateway_events_repeated');
        else {
          unsent.append(part.bytes);
          if (part.kind === 'event') events += 1;
        }
        return fault === undefined;
      });
      return events;
    };

    const flush = (): void => {
      if (unsent.length() > 0) res.write(unsent.take());
    };
    // While the caller doesn't read, its bytes wait in one buffer: each write would take some hundred bytes more.
    const send = (): void => {
      sendHeadOnce(response);
      if (!res.writableNeedDrain) flush();
    };
    const sendAfterDrain = (): void => {
      if (res.headersSent) flush();
    };

    const handleBytes = (bytes: Buffer): void => {
      if (fault !== undefined) return;
      const events = takeEvents(bytes);
      for (let n = 0; n < Math.min(events, MAX_TIMED_EVENTS); n += 1) recordEventTime(attempt);
      if (events > 0) attempt.run.recordEvent();
      if (events > 0 || res.headersSent) send();
      if (splitter.isOversized()) fault ??= 'event-too-large';
      else if (res.writableLength + unsent.length() > MAX_BUFFERED_BYTES) fault ??= 'caller-slow';
      if (fault !== undefined) response.res.destroy();
    };

    res.on('drain', sendAfterDrain);
    const end = await attempt.forwardBody(handleBytes);
    res.off('drain', sendAfterDrain);
    sendAfterDrain();
    if (fault !== undefined) return fault;
    if (end === 'broken') return 'stream-broke-off';
    if (splitter.pending() > 0) return 'event-cut';
    const isEmpty = loop.resumeAfter === undefined && !res.headersSent;
    if (isEmpty && !hasFraming(response.res)) return 'no-event';
    if (!(await attempt.isProvedComplete(response.res))) return 'upstream-ended';
    // A stream that is resumed after its last event has no event left, so its head has not been forwarded yet.
    sendHeadOnce(response);
    flush();
    return undefined;
  };

  return loop.run(async (attempt, response): Promise<AttemptOutcome> => {
    if (!isStreamResponse(response)) return readFullResponse(attempt, response);
    const fault = await forwardEvents(attempt, response);
    return fault === undefined ? { outcome: 'streamed' } : { outcome: 'unknown', why: fault };
  });
};
