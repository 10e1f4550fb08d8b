/** One attempt, from its dispatch to its outcome. */

import type { Clock, Metrics, RefusalReason } from '@plantaindrum/common';
import { isRefusalReason } from '@plantaindrum/common';
import type { AttemptId, Chunk } from '@plantaindrum/link';
import { INITIAL_CREDIT_BYTES } from '@plantaindrum/link';
import type { AttemptEvent as RecordedEvent, RouteTicket } from '@plantaindrum/requests';
import { createSentAttempt } from '@plantaindrum/requests';
import { createInbox } from './inbox.js';
import type { AnswerSink, AttemptEvent, AttemptOutcome, AttemptUpstream, Work } from './types.js';

/** Times after which an attempt is given up, in milliseconds. */
export interface AttemptTimes {
  /** Wait for the same agent instance after a lost link. */
  reconnectMs: number;
  /** The same wait where the work may run elsewhere instead. */
  reconnectRepeatableMs: number;
  /** Longest silence of a linked agent before the attempt is cancelled. */
  silenceMs: number;
  /** Wait for the agent's word after a cancel. */
  verdictMs: number;
}

/** Times that suit a round trip of a few milliseconds. */
export const defaultAttemptTimes: AttemptTimes = {
  reconnectMs: 2_000,
  reconnectRepeatableMs: 250,
  silenceMs: 60_000,
  verdictMs: 1_000,
};

/** What an attempt needs. */
export interface AttemptOptions {
  id: AttemptId;
  upstream: AttemptUpstream;
  work: Work;
  answer: AnswerSink;
  /** Tells of the caller's end; the returned function ends that. */
  onCallerGone: (fn: () => void) => () => void;
  /** Whether the work may run again elsewhere, so that a silent agent need not be waited for. */
  repeatable: boolean;
  /** Tells routing how fast the upstream is. */
  ticket: Pick<RouteTicket, 'started' | 'firstByte'>;
  times: AttemptTimes;
  clock: Clock;
  metrics: Metrics;
}

const reasonOf = (text: string, otherwise: RefusalReason): RefusalReason =>
  isRefusalReason(text) ? text : otherwise;

const UNREACHABLE_RETRY_MS = 1_000;

/** Runs one attempt; never rejects. Frames that come after its end are dropped by the upstream. */
export const runAttempt = async (options: AttemptOptions): Promise<AttemptOutcome> => {
  const { id, upstream, work, answer, ticket, times, clock, metrics } = options;
  const record = createSentAttempt(id);
  const inbox = createInbox<AttemptEvent>();
  const instance = upstream.instance();
  let received = 0;
  let headSeen = false;
  let cancelled = false;
  let linked = true;
  let waiting = 0;
  let overrun = false;
  let stopTimer = (): void => {};
  const reconnectMs = options.repeatable ? times.reconnectRepeatableMs : times.reconnectMs;

  /**
   * Bytes that wait for the caller stay within the credit. An agent that ignores it would fill this
   * process's memory while a slow caller reads, so what exceeds it is dropped and the answer broken.
   */
  const push = (event: AttemptEvent): void => {
    if (event.t !== 'chunk') {
      inbox.push(event);
      return;
    }
    if (overrun) return;
    waiting += event.data.length;
    overrun = waiting > INITIAL_CREDIT_BYTES;
    inbox.push(overrun ? { t: 'overrun' } : event);
  };

  const armTimer = (): void => {
    stopTimer();
    const quietMs = linked ? times.silenceMs : reconnectMs;
    stopTimer = clock.after(cancelled ? times.verdictMs : quietMs, () =>
      inbox.push({ t: 'timer' }),
    );
  };

  const cancel = (): void => {
    cancelled = true;
    if (instance) upstream.cancel(id, instance);
  };

  /** The record alone says whether the attempt provably did not run. */
  const closeBy = (
    event: RecordedEvent,
    reason: RefusalReason,
    retryAfterMs = 0,
  ): AttemptOutcome => {
    const step = record.apply(event);
    const proved = step.step === 'closed' && step.outcome === 'not-run';
    return proved ? { outcome: 'not-run', reason, retryAfterMs } : { outcome: 'unknown', reason };
  };

  const giveUp = (reason: RefusalReason): AttemptOutcome => closeBy({ kind: 'gave-up' }, reason);

  /** An answer that breaks the link's rules is never passed off as whole. */
  const broken = (fault: string, reason: RefusalReason = 'upstream-broke-off'): AttemptOutcome => {
    metrics.count('answer_broken', { fault });
    cancel();
    return giveUp(reason);
  };

  const takeChunk = async (chunk: Chunk): Promise<AttemptOutcome | undefined> => {
    if (!headSeen) return broken('chunk-before-head');
    if (chunk.offset !== received) return broken('wrong-offset');
    received += chunk.data.length;
    if (!(await answer.write(chunk.data))) return broken('wrong-event');
    waiting -= chunk.data.length;
    upstream.credit(id, chunk.data.length);
    return undefined;
  };

  const onTimer = (): AttemptOutcome | undefined => {
    if (cancelled) return giveUp('answer-timeout');
    // The agent may still find the attempt in its queue; the cancel leaves a tombstone either way.
    cancel();
    if (!linked) return giveUp('link-lost');
    armTimer();
    return undefined;
  };

  /**
   * The same instance still knows the attempt, or puts a tombstone on an id that never reached it.
   * Another instance has forgotten everything, so the outcome stays unknown.
   */
  const onLinkUp = (peerInstance: string): AttemptOutcome | undefined => {
    linked = true;
    if (peerInstance !== instance) return closeBy({ kind: 'instance-gone' }, 'agent-restarted');
    metrics.count('attempt_queried');
    upstream.query(id, headSeen, received);
    return undefined;
  };

  const take = async (event: AttemptEvent): Promise<AttemptOutcome | undefined> => {
    switch (event.t) {
      case 'started':
        record.apply({ kind: 'started' });
        ticket.started();
        return undefined;
      case 'head':
        if (headSeen) return broken('second-head');
        headSeen = true;
        record.apply({ kind: 'progress' });
        ticket.firstByte();
        return answer.head(event.status, event.headers) ? undefined : broken('wrong-head');
      case 'chunk':
        return takeChunk(event);
      case 'end':
        if (!headSeen || event.length !== received) return broken('wrong-length');
        return answer.end() ? { outcome: 'answered' } : broken('not-whole');
      case 'not-run':
        if (headSeen) return broken('not-run-after-head');
        return closeBy(
          { kind: 'not-run' },
          reasonOf(event.reason, 'upstream-unreachable'),
          event.retryAfterMs,
        );
      case 'unknown':
        return closeBy({ kind: 'unknown' }, reasonOf(event.reason, 'upstream-broke-off'));
      case 'link-lost':
        linked = false;
        record.apply({ kind: 'link-lost' });
        return undefined;
      case 'silent':
        // A frozen agent would cost the caller its target; repeatable work goes elsewhere in time.
        return options.repeatable ? broken('agent-silent', 'link-lost') : undefined;
      case 'link-up':
        return onLinkUp(event.instance);
      case 'caller-gone':
        cancel();
        return { outcome: 'caller-gone' };
      case 'overrun':
        return broken('credit-exceeded');
      case 'timer':
        return onTimer();
      default:
        return undefined;
    }
  };

  const close = upstream.open(id, { push });
  const offCaller = options.onCallerGone(() => inbox.push({ t: 'caller-gone' }));
  try {
    const sent = await upstream.dispatch({ t: 'dispatch', id, ...work });
    if (!sent) {
      return closeBy({ kind: 'send-failed' }, 'upstream-unreachable', UNREACHABLE_RETRY_MS);
    }
    record.apply({ kind: 'sent' });
    for (;;) {
      armTimer();
      const outcome = await take(await inbox.next());
      if (outcome) return outcome;
    }
  } finally {
    stopTimer();
    offCaller();
    close();
  }
};
