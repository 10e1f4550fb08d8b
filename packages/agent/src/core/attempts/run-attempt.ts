import type { Metrics } from '@plantaindrum/common';
import type { AttemptId, Dispatch } from '@plantaindrum/link';
import { upstreamHeaders } from '../upstream/headers.js';
import type { Upstream, UpstreamOutcome } from '../upstream/upstream.js';
import type { AttemptOutcome } from './answer.js';
import type { Attempt } from './attempt.js';
import { runsAtMostOnce } from './dispatch.js';

const UNREACHABLE_RETRY_DELAY_MS = 1_000;

/** Observes an answer while it is forwarded. */
export interface AnswerObserver {
  head(status: number, headers: Record<string, string>): void;
  data(bytes: Uint8Array): void;
}

/** Options of `runAttempt`. */
export interface RunAttemptOptions {
  upstream: Upstream;
  /** Encodes the request body for this kind of upstream. */
  encodeBody: (dispatch: Dispatch) => Uint8Array;
  /** Statuses that mean that this upstream can't serve requests now. */
  refusalStatuses: readonly number[];
  metrics: Metrics;
  /** Called on the first byte of an answer. */
  onFirstByte: (id: AttemptId) => void;
  observe?: AnswerObserver;
}

const toAttemptOutcome = (result: UpstreamOutcome, cancelled: boolean): AttemptOutcome => {
  if (result.outcome === 'whole') return { outcome: 'answered' };
  if (result.outcome === 'broken') {
    return { outcome: 'unknown', reason: cancelled ? 'cancelled' : 'upstream-broke-off' };
  }
  if (cancelled) return { outcome: 'not-run', reason: 'cancelled', retryAfterMs: 0 };
  const retryAfterMs = UNREACHABLE_RETRY_DELAY_MS;
  return { outcome: 'not-run', reason: 'upstream-unreachable', retryAfterMs };
};

/** Sends an attempt to the upstream and streams the answer back. */
export const runAttempt = async (
  attempt: Attempt,
  dispatch: Dispatch,
  tryStart: () => boolean,
  { upstream, encodeBody, refusalStatuses, metrics, onFirstByte, observe }: RunAttemptOptions,
): Promise<AttemptOutcome> => {
  if (!tryStart()) return { outcome: 'not-run', reason: 'cancelled', retryAfterMs: 0 };
  const { answer, abort } = attempt;
  const { method, path } = dispatch;
  const headers = upstreamHeaders(dispatch.headers, dispatch.resumeAfter);
  let firstByteSeen = false;
  let refused = false;
  const result = await upstream.call(
    {
      ...{ method, path, headers, body: encodeBody(dispatch) },
      runsAtMostOnce: runsAtMostOnce(dispatch),
      isResumed: dispatch.resumeAfter !== undefined,
    },
    {
      sent: () => {
        attempt.start();
        metrics.count('attempts_started', {
          class: dispatch.class,
          organisation: dispatch.organisation,
        });
        answer.link()?.send({ t: 'started', id: attempt.id });
      },
      head: (status, fields) => {
        refused = refusalStatuses.includes(status);
        if (refused) return;
        observe?.head(status, fields);
        answer.head(status, fields);
      },
      data: (bytes) => {
        if (refused) return undefined;
        if (!firstByteSeen) onFirstByte(attempt.id);
        firstByteSeen = true;
        observe?.data(bytes);
        return answer.write(bytes);
      },
    },
    abort.signal,
  );
  // Such a status does not prove that nothing ran, so the entry decides whether to retry.
  if (refused) return { outcome: 'unknown', reason: 'upstream-refused' };
  return toAttemptOutcome(result, abort.signal.aborted);
};
