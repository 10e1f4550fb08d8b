/** One attempt, from its dispatch to its outcome. */

import type { Clock, Metrics, RefusalReason } from '@plantaindrum/common';
import { isRefusalReason } from '@plantaindrum/common';
import type { AttemptId, Chunk } from '@plantaindrum/link';
import { INITIAL_CREDIT_BYTES } from '@plantaindrum/link';
import type { AttemptEvent as RecordedEvent, RouteTicket } from '@plantaindrum/requests';
import { createSentAttempt } from '@plantaindrum/requests';
import { createAsyncQueue } from './async-queue.js';
import type {
  ResponseSink,
  AttemptEvent,
  AttemptOutcome,
  AttemptUpstream,
  DispatchPayload,
} from './types.js';

/** Times after which an attempt is given up, in milliseconds. */
export interface AttemptTimeouts {
  /** Wait for the same agent instance after a lost link. */
  reconnectMs: number;
  /** The same wait where the work may run elsewhere instead. */
  reconnectRepeatableMs: number;
  /** Longest silence of a linked agent before the attempt is cancelled. */
  silenceMs: number;
  /** Wait for the agent's word after a cancel. */
  cancelReplyMs: number;
}

/** Times that suit a round trip of a few milliseconds. */
export const defaultAttemptTimeouts: AttemptTimeouts = {
  reconnectMs: 2_000,
  reconnectRepeatableMs: 250,
  silenceMs: 60_000,
  cancelReplyMs: 1_000,
};

/** What an attempt needs. */
export interface AttemptOptions {
  id: AttemptId;
  upstream: AttemptUpstream;
  payload: DispatchPayload;
  response: ResponseSink;
  /** Tells of the caller's end; the returned function ends that. */
  onCallerDisconnect: (fn: () => void) => () => void;
  /** Whether the work may run again elsewhere, so that a silent agent need not be waited for. */
  mayRunElsewhere: boolean;
  /** Tells routing how fast the upstream is. */
  ticket: Pick<RouteTicket, 'started' | 'firstByte'>;
  timeouts: AttemptTimeouts;
  clock: Clock;
  metrics: Metrics;
}

const parseReason = (text: string, fallback: RefusalReason): RefusalReason =>
  isRefusalReason(text) ? text : fallback;

const UNREACHABLE_RETRY_AFTER_MS = 1_000;

/** Runs one attempt; never rejects. Frames that come after its end are dropped by the upstream. */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptOutcome> => {
  const { id, upstream, payload, response, ticket, timeouts, clock, metrics } = options;
  const record = createSentAttempt(id);
  const events = createAsyncQueue<AttemptEvent>();
  const instance = upstream.instance();
  let receivedBytes = 0;
  let headReceived = false;
  let cancelled = false;
  let linked = true;
  let unwrittenBytes = 0;
  let creditExceeded = false;
  let stopTimer = (): void => {};
  const reconnectMs = options.mayRunElsewhere
    ? timeouts.reconnectRepeatableMs
    : timeouts.reconnectMs;

  /**
   * Bytes that wait for the caller stay within the credit. An agent that ignores it would fill this
   * process's memory while a slow caller reads, so what exceeds it is dropped and the answer broken.
   */
  const push = (event: AttemptEvent): void => {
    if (event.t !== 'chunk') {
      events.push(event);
      return;
    }
    if (creditExceeded) return;
    unwrittenBytes += event.data.length;
    creditExceeded = unwrittenBytes > INITIAL_CREDIT_BYTES;
    events.push(creditExceeded ? { t: 'overrun' } : event);
  };

  const restartTimer = (): void => {
    stopTimer();
    const idleMs = linked ? timeouts.silenceMs : reconnectMs;
    stopTimer = clock.after(cancelled ? timeouts.cancelReplyMs : idleMs, () =>
      events.push({ t: 'timer' }),
    );
  };

  const cancel = (): void => {
    cancelled = true;
    if (instance) upstream.cancel(id, instance);
  };

  /** The record alone says whether the attempt provably did not run. */
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

  /** An answer that breaks the link's rules is never passed off as whole. */
  const failInvalid = (
    fault: string,
    reason: RefusalReason = 'upstream-broke-off',
  ): AttemptOutcome => {
    metrics.count('answer_broken', { fault });
    cancel();
    return giveUp(reason);
  };

  const handleChunk = async (chunk: Chunk): Promise<AttemptOutcome | undefined> => {
    if (!headReceived) return failInvalid('chunk-before-head');
    if (chunk.offset !== receivedBytes) return failInvalid('wrong-offset');
    receivedBytes += chunk.data.length;
    if (!(await response.write(chunk.data))) return failInvalid('wrong-event');
    unwrittenBytes -= chunk.data.length;
    upstream.credit(id, chunk.data.length);
    return undefined;
  };

  const handleTimeout = (): AttemptOutcome | undefined => {
    if (cancelled) return giveUp('answer-timeout');
    // The agent may still find the attempt in its queue; the cancel leaves a tombstone either way.
    cancel();
    if (!linked) return giveUp('link-lost');
    restartTimer();
    return undefined;
  };

  /**
   * The same instance still knows the attempt, or puts a tombstone on an id that never reached it.
   * Another instance has forgotten everything, so the outcome stays unknown.
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
        record.apply({ kind: 'progress' });
        ticket.firstByte();
        return response.head(event.status, event.headers) ? undefined : failInvalid('wrong-head');
      case 'chunk':
        return handleChunk(event);
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
        // A frozen agent would cost the caller its target; repeatable work goes elsewhere in time.
        return options.mayRunElsewhere ? failInvalid('agent-silent', 'link-lost') : undefined;
      case 'link-up':
        return handleLinkUp(event.instance);
      case 'caller-gone':
        cancel();
        return { outcome: 'caller-gone' };
      case 'overrun':
        return failInvalid('credit-exceeded');
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
      const outcome = await handleEvent(await events.next());
      if (outcome) return outcome;
    }
  } finally {
    stopTimer();
    unsubscribeCaller();
    close();
  }
};
