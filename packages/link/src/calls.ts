/** Calls over one link: those made here that wait for a reply, and those that the peer makes. */

import type { Clock, Logger, Metrics } from '@plantaindrum/common';
import type { Call, Frame, Reply } from './messages.js';
import type { CallHandler, CallOutcome, Link } from './types.js';

/** Thrown by a call handler to refuse a call; `value` travels to the caller. */
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
  start(method: string, args: unknown, timeoutMs: number): Promise<CallOutcome>;
  onReply(reply: Reply): void;
  /** Runs the handler of a peer's call and sends its reply. */
  serve(call: Call, link: Link): Promise<void>;
  /** Ends every waiting call as lost. */
  end(): void;
}

/** What the calls of one link need. */
export interface LinkCallsOptions {
  send: (frame: Frame) => boolean;
  handlers: Record<string, CallHandler>;
  clock: Clock;
  metrics: Metrics;
  log: Logger;
}

/** Creates the call table of one link. */
export const createLinkCalls = (options: LinkCallsOptions): LinkCalls => {
  const { send, handlers, clock, metrics, log } = options;
  const waiting = new Map<number, (outcome: CallOutcome) => void>();
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
        waiting.delete(seq);
        metrics.count('link_call_timeout', { method });
        resolve({ outcome: 'lost' });
      });
      waiting.set(seq, (outcome) => {
        cancelTimer();
        resolve(outcome);
      });
    });

  const onReply = ({ seq, ok, value }: Reply): void => {
    const settle = waiting.get(seq);
    if (!settle) {
      metrics.count('link_reply_dropped', { reason: 'late' });
      return;
    }
    waiting.delete(seq);
    settle({ outcome: ok ? 'answered' : 'failed', value });
  };

  const run = async ({ method, args }: Call, link: Link): Promise<Omit<Reply, 't' | 'seq'>> => {
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
    onReply,
    serve: async (call, link) => {
      const { ok, value } = await run(call, link);
      send({ t: 'reply', seq: call.seq, ok, value });
    },
    end: () => {
      waiting.forEach((settle) => settle({ outcome: 'lost' }));
      waiting.clear();
    },
  };
};
