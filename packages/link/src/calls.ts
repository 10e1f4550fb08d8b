/** Calls over one link: pending calls to the peer, and calls from the peer. */

import type { Clock, Logger, Metrics } from '@plantaindrum/common';
import type { Call, Frame, Reply } from './messages.js';
import type { CallHandler, CallOutcome, Link } from './types.js';

/** Thrown by a call handler to refuse a call; `value` is sent to the calling node. */
export class CallRefused extends Error {
  readonly value: unknown;

  constructor(value: unknown) {
    super('call refused');
    this.name = 'CallRefused';
    this.value = value;
  }
}

/** The calls of one link. */
export interface LinkCalls {
  /** Calls a method of the peer; resolves to `lost` on a timeout or when the link closes. */
  start(method: string, args: unknown, timeoutMs: number): Promise<CallOutcome>;
  handleReply(reply: Reply): void;
  /** Runs the handler of a peer's call and sends its reply. */
  serve(call: Call, link: Link): Promise<void>;
  /** Resolves every pending call to `lost`. */
  failPending(): void;
}

/** Options of `createLinkCalls`. */
export interface LinkCallsOptions {
  send: (frame: Frame) => boolean;
  /** Sends the reply to a call of the method. */
  sendReply: (reply: Reply, method: string) => boolean;
  handlers: Record<string, CallHandler>;
  clock: Clock;
  metrics: Metrics;
  log: Logger;
}

/** Creates the call table of one link. */
export const createLinkCalls = (options: LinkCallsOptions): LinkCalls => {
  const { send, sendReply, handlers, clock, metrics, log } = options;
  const pending = new Map<number, (outcome: CallOutcome) => void>();
  let lastSeq = 0;

  const start = (method: string, args: unknown, timeoutMs: number): Promise<CallOutcome> =>
    new Promise((resolve) => {
      lastSeq += 1;
      const seq = lastSeq;
      if (!send({ t: 'call', seq, method, args })) {
        resolve({ outcome: 'lost' });
        return;
      }
      const cancelTimer = clock.after(timeoutMs, () => {
        pending.delete(seq);
        metrics.count('link_call_timeout', { method });
        resolve({ outcome: 'lost' });
      });
      pending.set(seq, (outcome) => {
        cancelTimer();
        resolve(outcome);
      });
    });

  const handleReply = ({ seq, ok, value }: Reply): void => {
    const settle = pending.get(seq);
    if (!settle) {
      metrics.count('link_reply_dropped', { reason: 'late' });
      return;
    }
    pending.delete(seq);
    settle({ outcome: ok ? 'answered' : 'failed', value });
  };

  const runHandler = async (
    { method, args }: Call,
    link: Link,
  ): Promise<Omit<Reply, 't' | 'seq'>> => {
    const handler = Object.hasOwn(handlers, method) ? handlers[method] : undefined;
    if (!handler) {
      metrics.count('link_call_refused', { reason: 'unknown-method' });
      return { ok: false, value: 'unknown-method' };
    }
    try {
      return { ok: true, value: await handler(args, link) };
    } catch (err) {
      if (err instanceof CallRefused) return { ok: false, value: err.value };
      metrics.count('link_call_refused', { reason: 'handler-failed' });
      log.error(`call ${method} failed: ${String(err)}`);
      return { ok: false, value: 'handler-failed' };
    }
  };

  return {
    start,
    handleReply,
    serve: async (call, link) => {
      const { ok, value } = await runHandler(call, link);
      // A peer may call methods of any name; only known ones name a series of the metrics.
      const method = Object.hasOwn(handlers, call.method) ? call.method : 'unknown';
      sendReply({ t: 'reply', seq: call.seq, ok, value }, method);
    },
    failPending: () => {
      pending.forEach((settle) => settle({ outcome: 'lost' }));
      pending.clear();
    },
  };
};
