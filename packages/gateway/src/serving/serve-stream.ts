/** A stream of events: forwarded as they come, and resumed at another upstream where it may be. */

import { createEventSplitter, isOversized } from '../streams/events.js';
import type { StreamEvent } from '../streams/events.js';
import type { Attempt, AttemptAnswer } from './attempt.js';
import { beginAnswer, endToEnd } from './deliver.js';
import { createRounds, readWhole } from './rounds.js';
import type { MoveOn, RoundOutcome } from './rounds.js';
import type { CallerRequest, ServingDeps } from './types.js';

/**
 * A stream that has begun and is silent this long while others of its service move is taken from its upstream,
 * in ms: well above a pass of a group, well below the two seconds after which callers give up.
 */
const SILENT_MS = 900;
/** Others move if one of them had an event within this time, in ms. */
const OTHERS_MOVE_MS = 250;
const WATCH_MS = 150;
/** Pause before a stream in its middle goes on elsewhere: its group may be forming anew, in ms. */
const RESUME_PAUSE_MS = 60;
/** Bytes that may wait for a slow caller before the stream is broken off: a bound on memory. */
const MAX_WAITING_BYTES = 1_048_576;

const isStreamAnswer = ({ status, res }: AttemptAnswer): boolean =>
  status === 200 && (res.headers['content-type'] ?? '').startsWith('text/event-stream');

/** Serves one stream; resolves when it has ended in any way. */
export const serveStream = (request: CallerRequest, deps: ServingDeps): Promise<void> => {
  const { route, res, service } = request;
  const { clock, metrics, log, admission, directory } = deps;
  const pace = admission.pace(service);
  let lastEventAt: number | undefined;
  /** When the running attempt was sent; undefined once it has brought an event. */
  let awaitedSince: number | undefined;

  /** Goes on elsewhere when the upstream holds up all streams of its service, this one included. */
  const leaveIfHoldingUp = ({ upstream }: Attempt, moveOn: MoveOn): boolean => {
    if (!directory.isHoldingUp(upstream) || !moveOn()) return false;
    metrics.count('gateway_streams_moved');
    const { instance } = upstream.record;
    log.event('stream-moved', { id: request.id, upstream: instance, pace: upstream.pace() });
    return true;
  };

  /** Ends an attempt whose upstream is silent while the others of its service are not. */
  const watch = (attempt: Attempt, sentAt: number, moveOn: MoveOn): (() => void) => {
    let stopTimer = (): void => {};
    awaitedSince = sentAt;
    const look = (): void => {
      const quiet = clock.monotonic() - Math.max(sentAt, lastEventAt ?? sentAt);
      if (leaveIfHoldingUp(attempt, moveOn)) return;
      const isAwaited = awaitedSince !== undefined;
      const limitMs = isAwaited ? pace.firstLimit() : SILENT_MS;
      if (quiet > limitMs && pace.silence() < OTHERS_MOVE_MS && route.resumable) {
        const inputs = { quiet, limitMs, isAwaited, othersMs: pace.silence() };
        log.event('upstream-silent', { id: request.id, ...inputs });
        if (isAwaited) pace.noteNone(quiet);
        attempt.upstream.noteFailure('unreachable');
        attempt.abort();
        return;
      }
      stopTimer = clock.after(WATCH_MS, look);
    };
    stopTimer = clock.after(WATCH_MS, look);
    const stopListening = directory.onPaceChange(() => {
      leaveIfHoldingUp(attempt, moveOn);
    });
    return () => {
      stopTimer();
      stopListening();
    };
  };

  const rounds = createRounds(
    request,
    {
      mayRepeat: route.resumable,
      patience: () => undefined,
      pauseMs: () => (lastEventAt === undefined ? 0 : RESUME_PAUSE_MS),
      watch,
    },
    deps,
  );

  const noteTime = (): void => {
    const now = clock.monotonic();
    if (awaitedSince !== undefined) pace.noteFirst(now - awaitedSince);
    awaitedSince = undefined;
    if (lastEventAt === undefined) {
      metrics.record('gateway_first_event_ms', now - request.arrivedAt);
    } else {
      pace.notePause(now - lastEventAt);
      metrics.record('gateway_pause_ms', now - lastEventAt);
    }
    lastEventAt = now;
  };

  /** Passes one event on; false when it doesn't follow the last one. */
  const forward = (event: StreamEvent, attempt: Attempt, answer: AttemptAnswer): boolean => {
    const last = rounds.resumeAfter;
    if (event.id !== undefined && last !== undefined) {
      if (event.id <= last) {
        metrics.count('gateway_events_repeated');
        return true;
      }
      // Pieces of two runs with a hole between them must not look like one stream.
      if (event.id > last + 1) return false;
    }
    noteTime();
    attempt.watched.noteEvent();
    if (event.id !== undefined) rounds.resumeAfter = event.id;
    // Until the first event nothing has been promised, and a failure can still be told as one.
    if (!res.headersSent) beginAnswer(res, answer.status, endToEnd(answer.res), deps.isStopping());
    res.write(event.bytes);
    return true;
  };

  /** Passes a stream's events on; the fault that ended it, or undefined when it is whole. */
  const pipe = async (attempt: Attempt, answer: AttemptAnswer): Promise<string | undefined> => {
    const splitter = createEventSplitter();
    const ended = attempt.bodyEnd(answer.res);
    let fault: string | undefined;
    const breakOff = (why: string): void => {
      fault ??= why;
      answer.res.destroy();
    };
    answer.res.on('data', (chunk: Buffer) => {
      if (fault !== undefined) return;
      const isSound = splitter.push(chunk).every((event) => forward(event, attempt, answer));
      if (!isSound) breakOff('event-missing');
      else if (isOversized(splitter)) breakOff('event-too-large');
      else if (res.writableLength > MAX_WAITING_BYTES) breakOff('caller-slow');
    });
    const end = await ended;
    if (fault !== undefined) return fault;
    if (end === 'broken') return 'stream-broke-off';
    return splitter.pending() > 0 ? 'event-cut' : undefined;
  };

  return rounds.run(async (attempt, answer): Promise<RoundOutcome> => {
    if (!isStreamAnswer(answer)) return readWhole(attempt, answer);
    const fault = await pipe(attempt, answer);
    if (fault !== undefined) return { outcome: 'unknown', why: fault };
    // A stream resumed after its last event has none left, and its head has not been passed on yet.
    if (!res.headersSent) beginAnswer(res, answer.status, endToEnd(answer.res), deps.isStopping());
    return { outcome: 'streamed' };
  });
};
