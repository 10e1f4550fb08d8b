/** HTTP client of the engine or service beside this agent. */

import { Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { answerHeaders } from './headers.js';

/** One call to the upstream. */
export interface UpstreamRequest {
  method: string;
  path: string;
  headers: Record<string, string>;
  body: Uint8Array;
  /** Uses a connection of its own, see `createUpstream`. */
  runsAtMostOnce: boolean;
}

/** Receives the upstream's answer as it arrives. */
export interface ResponseSink {
  /** Called right before the first byte is written to the upstream. */
  sent(): void;
  head(status: number, headers: Record<string, string>): void;
  /** Receives bytes; a returned promise pauses reading from the upstream until it resolves. */
  data(bytes: Uint8Array): Promise<void> | undefined;
}

/** How a call ended: `not-sent` means that no byte was written to the upstream. */
export type UpstreamOutcome =
  | { outcome: 'whole' }
  | { outcome: 'not-sent'; detail: string }
  | { outcome: 'broken'; detail: string };

/** The upstream beside this agent. */
export interface Upstream {
  call(req: UpstreamRequest, sink: ResponseSink, signal: AbortSignal): Promise<UpstreamOutcome>;
  close(): Promise<void>;
}

const ABORT_ERROR = new Error('the call was cancelled');

const dispatchOptions = (req: UpstreamRequest): Dispatcher.DispatchOptions => ({
  method: req.method,
  path: req.path,
  headers: req.headers,
  body: req.body.length > 0 ? req.body : null,
  idempotent: false,
  reset: req.runsAtMostOnce,
});

const runCall = (
  pool: Pool,
  req: UpstreamRequest,
  sink: ResponseSink,
  signal: AbortSignal,
): Promise<UpstreamOutcome> =>
  new Promise((resolve) => {
    let sent = false;
    let abort = (): void => {};
    const onAbort = (): void => abort();
    signal.addEventListener('abort', onAbort);
    const finish = (outcome: UpstreamOutcome): void => {
      signal.removeEventListener('abort', onAbort);
      resolve(outcome);
    };
    pool.dispatch(dispatchOptions(req), {
      onRequestStart: (controller) => {
        if (signal.aborted) {
          controller.abort(ABORT_ERROR);
          return;
        }
        abort = () => controller.abort(ABORT_ERROR);
        sent = true;
        sink.sent();
      },
      onResponseStart: (_, status, headers) => {
        if (status >= 200) sink.head(status, answerHeaders(headers));
      },
      onResponseData: (controller, bytes) => {
        const resumed = sink.data(bytes);
        if (!resumed) return;
        controller.pause();
        void resumed.then(() => controller.resume());
      },
      onResponseEnd: () => finish({ outcome: 'whole' }),
      onResponseError: (_, err) => {
        finish({ outcome: sent ? 'broken' : 'not-sent', detail: err.message });
      },
    });
  });

/**
 * Creates the client of the upstream at `url`.
 *
 * A call that runs at most once gets a new connection. The upstream may close a kept-alive connection
 * just as the request is sent, and then it is unknown whether the request ran.
 */
export const createUpstream = (url: string): Upstream => {
  const keepAlivePool = new Pool(url, { pipelining: 1 });
  const singleUsePool = new Pool(url, { pipelining: 1 });

  return {
    call: (req, sink, signal) =>
      runCall(req.runsAtMostOnce ? singleUsePool : keepAlivePool, req, sink, signal),
    close: async () => {
      await Promise.all([keepAlivePool.destroy(), singleUsePool.destroy()]);
    },
  };
};
