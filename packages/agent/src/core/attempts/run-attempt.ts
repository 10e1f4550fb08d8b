import type { Metrics } from '@plantaindrum/common';
import type { AttemptId, Dispatch } from '@plantaindrum/link';
import { upstreamHeaders } from '../upstream/headers.js';
import type { Upstream, UpstreamOutcome } from '../upstream/upstream.js';
import type { AttemptOutcome } from './answer.js';
import type { Attempt } from './attempt.js';
import { runsAtMostOnce } from './work.js';

const UNREACHABLE_RETRY_MS = 1_000;

/** Sees an answer as it passes. */
export interface AnswerObserver {
  head(status: number, headers: Record<string, string>): void;
  data(bytes: Uint8Array): void;
}

/** What running an attempt needs. */
export interface RunAttemptOptions {
  upstream: Upstream;
  /** The body as this upstream takes it. */
  bodyOf: (work: Dispatch) => Uint8Array;
  /** Statuses by which this upstream refuses what it can't serve now. */
  refusals: readonly number[];
  metrics: Metrics;
  /** Told of the first byte of an answer. */
  onFirstByte: (id: AttemptId) => void;
  observe?: AnswerObserver;
}

const outcomeOf = (ended: UpstreamOutcome, cancelled: boolean): AttemptOutcome => {
  if (ended.outcome === 'whole') return { outcome: 'answered' };
  if (ended.outcome === 'broken') {
    return { outcome: 'unknown', reason: cancelled ? 'cancelled' : 'upstream-broke-off' };
  }
  if (cancelled) return { outcome: 'not-run', reason: 'cancelled', retryAfterMs: 0 };
  const retryAfterMs = UNREACHABLE_RETRY_MS;
  return { outcome: 'not-run', reason: 'upstream-unreachable', retryAfterMs };
};

/** Hands an attempt to the upstream and passes its answer on as it comes. */
export const runAttempt = async (
  attempt: Attempt,
  work: Dispatch,
  begin: () => boolean,
  { upstream, bodyOf, refusals, metrics, onFirstByte, observe }: RunAttemptOptions,
): Promise<AttemptOutcome> => {
  if (!begin()) return { outcome: 'not-run', reason: 'cancelled', retryAfterMs: 0 };
  const { answer, abort } = attempt;
  const { method, path } = work;
  const headers = upstreamHeaders(work.headers, work.resumeAfter);
  let begun = false;
  let refused = false;
  const ended = await upstream.call(
    { method, path, headers, body: bodyOf(work), runsAtMostOnce: runsAtMostOnce(work) },
    {
      sent: () => {
        attempt.start();
        metrics.count('attempts_started', { class: work.class, organisation: work.organisation });
        answer.link()?.send({ t: 'started', id: attempt.id });
      },
      head: (status, fields) => {
        refused = refusals.includes(status);
        if (refused) return;
        observe?.head(status, fields);
        answer.head(status, fields);
      },
      data: (bytes) => {
        if (refused) return undefined;
        if (!begun) onFirstByte(attempt.id);
        begun = true;
        observe?.data(bytes);
        return answer.write(bytes);
      },
    },
    abort.signal,
  );
  // Such a status does not prove that nothing ran, so another attempt is the entry's to decide.
  if (refused) return { outcome: 'unknown', reason: 'upstream-refused' };
  return outcomeOf(ended, abort.signal.aborted);
};
