import type { Metrics } from '@plantaindrum/common';
import type { AttemptId, Dispatch } from '@plantaindrum/link';
import { upstreamHeaders } from '../upstream/headers.js';
import type { Upstream, UpstreamOutcome } from '../upstream/upstream.js';
import type { AttemptOutcome } from './answer.js';
import type { Attempt } from './attempt.js';
import { runsAtMostOnce } from './dispatch.js';

const UNREACHABLE_RETRY_DELAY_MS = 1_000;

/** Sees an answer as it passes. */
export interface AnswerObserver {
  head(status: number, headers: Record<string, string>): void;
  data(bytes: Uint8Array): void;
}

/** What running an attempt needs. */
export interface RunAttemptOptions {
  upstream: Upstream;
  /** The body as this upstream takes it. */
  encodeBody: (dispatch: Dispatch) => Uint8Array;
  /** Statuses by which this upstream refuses what it can't serve now. */
  refusalStatuses: readonly number[];
  metrics: Metrics;
  /** Told of the first byte of an answer. */
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

/** Hands an attempt to the upstream and passes its answer on as it comes. */
export const runAttempt = async (
  attempt: Attempt,
  dispatch: Dispatch,
  tryStart: () => boolean,
  {
    upstream,
    encodeBody,
    refusalStatuses,
    metrics,
    onFirstByte,
    observe,
  }: RunAttemptOptions,
): Promise<AttemptOutcome> => {
  if (!tryStart()) return { outcome: 'not-run', reason: 'cancelled', retryAfterMs: 0 };
  const { answer, abort } = attempt;
  const { method, path } = dispatch;
  const headers = upstreamHeaders(dispatch.headers, dispatch.resumeAfter);
  let firstByteSeen = false;
  let refused = false;
  const result = await upstream.call(
    { method, path, headers, body: encodeBody(dispatch), runsAtMostOnce: runsAtMostOnce(dispatch) },
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
  // Such a status does not prove that nothing ran, so another attempt is the entry's to decide.
  if (refused) return { outcome: 'unknown', reason: 'upstream-refused' };
  return toAttemptOutcome(result, abort.signal.aborted);
};
