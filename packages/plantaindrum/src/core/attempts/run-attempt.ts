/** Runs one attempt at an upstream, from its dispatch to its outcome. */

import type { Clock, Metrics, RefusalReason } from '@plantaindrum/common';
import { createByteBuffer, isRefusalReason } from '@plantaindrum/common';
import type { AttemptId, Chunk } from '@plantaindrum/link';
import { INITIAL_CREDIT_BYTES } from '@plantaindrum/link';
import type { AttemptEvent as RecordedEvent, DispatchedRequest } from '@plantaindrum/requests';
import { createSentAttempt } from '@plantaindrum/requests';
import { createAsyncQueue } from './async-queue.js';
import type {
  AttemptEvent,
  AttemptOutcome,
  AttemptUpstream,
  DispatchPayload,
  ResponseSink,
} from './types.js';

/** Timeouts of an attempt, in milliseconds. */
export interface AttemptTimeouts {
  /** Wait for the same agent instance to reconnect after a lost link. */
  reconnectMs: number;
  /** The same wait when the request may run at another upstream instead. */
  reconnectRepeatableMs: number;
  /** Longest time without a frame of the attempt, on an open link, before it is cancelled. */
  silenceMs: number;
  /** Wait for the agent's reply to a cancel. */
  cancelReplyMs: number;
}

/** Timeouts for round trips of a few milliseconds. */
export const defaultAttemptTimeouts: AttemptTimeouts = {
  reconnectMs: 2_000,
  reconnectRepeatableMs: 250,
  silenceMs: 60_000,
  cancelReplyMs: 1_000,
};

/** Progress of the answers of one model or service, by which a stalled one is told from a slow service. */
export interface AnswerProgress {
  /** Time without progress after which an answer may be stalled, in milliseconds. */
  stallMs(): number;
  /** Records progress of this answer. */
  record(): void;
  /** Milliseconds since the last progress of any answer. */
  quietMs(): number;
}

/** Options of an attempt. */
export interface AttemptOptions {
  id: AttemptId;
  upstream: AttemptUpstream;
  payload: DispatchPayload;
  response: ResponseSink;
  /** Calls `fn` when the caller disconnects; the returned function unsubscribes. */
  onCallerDisconnect: (fn: () => void) => () => void;
  /** Whether the request may run again at another upstream; a silent agent is then not awaited. */
  mayRunElsewhere: boolean;
  /** Reports the response times of the upstream to routing. */
  ticket: Pick<DispatchedRequest, 'started' | 'firstByte'>;
  timeouts: AttemptTimeouts;
  /** Without it, an answer is awaited for as long as the timeouts allow. */
  progress?: AnswerProgress;
  clock: Clock;
  metrics: Metrics;
}

/** Other answers are active if one of them made progress within this time, in ms. */
const OTHERS_ACTIVE_MS = 250;
/** How often an answer that may be stalled is checked, in ms. */
const STALL_CHECK_INTERVAL_MS = 150;

const parseReason = (text: string, fallback: RefusalReason): RefusalReason =>
  isRefusalReason(text) ? text : fallback;

const UNREACHABLE_RETRY_AFTER_MS = 1_000;

/** Runs one attempt; never rejects. The upstream drops frames that arrive after its end. */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptOutcome> => {
  const { id, upstream, payload, response, ticket, timeouts, clock, metrics } = options;
  const record = createSentAttempt(id);
  const events = createAsyncQueue<AttemptEvent>();
  const instance = upstream.instance();
  /** Bytes that wait for the caller: however small its chunks were, an answer takes little more than these. */
  const unwritten = createByteBuffer();
  let arrivedBytes = 0;
  let receivedBytes = 0;
  let headReceived = false;
  let cancelled = false;
  let linked = true;
  let writingBytes = 0;
  let chunkFault: 'overrun' | 'misplaced' | undefined;
  let stopTimer = (): void => {};
  let lastEventAt = clock.monotonic();
  let lastProgressAt = lastEventAt;
  const progress = options.mayRunElsewhere ? options.progress : undefined;
  const reconnectMs = options.mayRunElsewhere
    ? timeouts.reconnectRepeatableMs
    : timeouts.reconnectMs;

  /**
   * Bytes waiting for the caller must stay within the credit. An agent that exceeded it would fill
   * this process's memory behind a slow caller, so the excess is dropped and the attempt fails.
   */
  const pushChunk = ({ offset, data }: Chunk): void => {
    if (chunkFault) return;
    if (offset !== arrivedBytes) chunkFault = 'misplaced';
    arrivedBytes += data.length;
    const isWaiting = unwritten.length() > 0;
    unwritten.append(data);
    if (unwritten.length() + writingBytes > INITIAL_CREDIT_BYTES) chunkFault = 'overrun';
    if (chunkFault) {
      unwritten.take();
      events.push({ t: chunkFault });
    } else if (!isWaiting) events.push({ t: 'bytes' });
  };

  const push = (event: AttemptEvent): void => {
    if (event.t === 'chunk') pushChunk(event);
    else events.push(event);
  };

  const elapsedSince = (at: number): number => clock.monotonic() - at;

  const stallCheckMs = (): number =>
    progress && linked
      ? Math.max(STALL_CHECK_INTERVAL_MS, progress.stallMs() - elapsedSince(lastProgressAt))
      : Infinity;

  /** Whether this answer makes no progress while others do. */
  const isStalled = (): boolean =>
    progress !== undefined &&
    elapsedSince(lastProgressAt) >= progress.stallMs() &&
    progress.quietMs() < OTHERS_ACTIVE_MS;

  const recordProgress = (): void => {
    lastProgressAt = clock.monotonic();
    progress?.record();
  };

  const restartTimer = (): void => {
    stopTimer();
    const silenceMs = Math.max(0, timeouts.silenceMs - elapsedSince(lastEventAt));
    const idleMs = linked ? Math.min(silenceMs, stallCheckMs()) : reconnectMs;
    stopTimer = clock.after(cancelled ? timeouts.cancelReplyMs : idleMs, () =>
      events.push({ t: 'timer' }),
    );
  };

  const cancel = (): void => {
    cancelled = true;
    if (instance) upstream.cancel(id, instance);
  };

  /** Ends the attempt; only its recorded events can prove that it did not run. */
  const closeWith = (
    event: RecordedEvent,
    reason: RefusalReason,
    retryAfterMs = 0,
  ): AttemptOutcome => {
    const step = record.apply(event);
    const provedNotRun = step.step === 'closed' && step.outcome === 'not-run';
    return provedNotRun
      ? { outcome: 'not-run', reason, retryAfterMs }
      : { outcome: 'unknown', reason };
  };

  const giveUp = (reason: RefusalReason): AttemptOutcome => closeWith({ kind: 'gave-up' }, reason);

  /** Fails an attempt whose response violates the protocol; it is never delivered as complete. */
  const failInvalid = (
    fault: string,
    reason: RefusalReason = 'upstream-broke-off',
  ): AttemptOutcome => {
    metrics.count('answer_broken', { fault });
    cancel();
    return giveUp(reason);
  };

  const handleBytes = async (): Promise<AttemptOutcome | undefined> => {
    if (!headReceived) return failInvalid('chunk-before-head');
    const bytes = unwritten.take();
    writingBytes = bytes.length;
    receivedBytes += bytes.length;
    if (!(await response.write(bytes))) return failInvalid('wrong-event');
    writingBytes = 0;
    upstream.credit(id, bytes.length);
    // Only now: a caller that reads slowly holds the answer up as well.
    recordProgress();
    return undefined;
  };

  const handleTimeout = (): AttemptOutcome | undefined => {
    if (cancelled) return giveUp('answer-timeout');
    if (linked && isStalled()) return failInvalid('stalled');
    if (linked && elapsedSince(lastEventAt) < timeouts.silenceMs) return undefined;
    // The attempt may still be queued at the agent; the cancel leaves a tombstone in any case.
    cancel();
    if (!linked) return giveUp('link-lost');
    restartTimer();
    return undefined;
  };

  /**
   * The same agent instance still knows the attempt, or records a tombstone for an id that never
   * reached it. A new instance has no state of its predecessor, so the outcome stays unknown.
   */
  const handleLinkUp = (peerInstance: string): AttemptOutcome | undefined => {
    linked = true;
    if (peerInstance !== instance) return closeWith({ kind: 'instance-gone' }, 'agent-restarted');
    metrics.count('attempt_queried');
    upstream.query(id, headReceived, receivedBytes);
    return undefined;
  };

  const handleEvent = async (event: AttemptEvent): Promise<AttemptOutcome | undefined> => {
    switch (event.t) {
      case 'started':
        record.apply({ kind: 'started' });
        ticket.started();
        return undefined;
      case 'head':
        if (headReceived) return failInvalid('second-head');
        headReceived = true;
        recordProgress();
        record.apply({ kind: 'progress' });
        ticket.firstByte();
        return response.head(event.status, event.headers) ? undefined : failInvalid('wrong-head');
      case 'bytes':
        return handleBytes();
      case 'end':
        if (!headReceived || event.length !== receivedBytes) return failInvalid('wrong-length');
        return response.end() ? { outcome: 'answered' } : failInvalid('not-whole');
      case 'not-run':
        if (headReceived) return failInvalid('not-run-after-head');
        return closeWith(
          { kind: 'not-run' },
          parseReason(event.reason, 'upstream-unreachable'),
          event.retryAfterMs,
        );
      case 'unknown':
        return closeWith({ kind: 'unknown' }, parseReason(event.reason, 'upstream-broke-off'));
      case 'link-lost':
        linked = false;
        record.apply({ kind: 'link-lost' });
        return undefined;
      case 'silent':
        // Waiting for a frozen agent would miss the target, so a repeatable request is retried.
        return options.mayRunElsewhere ? failInvalid('agent-silent', 'link-lost') : undefined;
      case 'link-up':
        return handleLinkUp(event.instance);
      case 'caller-gone':
        cancel();
        return { outcome: 'caller-gone' };
      case 'overrun':
        return failInvalid('credit-exceeded');
      case 'misplaced':
        return failInvalid('wrong-offset');
      case 'timer':
        return handleTimeout();
      default:
        return undefined;
    }
  };

  const close = upstream.open(id, { push });
  const unsubscribeCaller = options.onCallerDisconnect(() => events.push({ t: 'caller-gone' }));
  try {
    const sent = await upstream.dispatch({ t: 'dispatch', id, ...payload });
    if (!sent) {
      return closeWith({ kind: 'send-failed' }, 'upstream-unreachable', UNREACHABLE_RETRY_AFTER_MS);
    }
    record.apply({ kind: 'sent' });
    for (;;) {
      restartTimer();
      const event = await events.next();
      if (event.t !== 'timer') lastEventAt = clock.monotonic();
      const outcome = await handleEvent(event);
      if (outcome) return outcome;
    }
  } finally {
    stopTimer();
    unsubscribeCaller();
    close();
  }
};
