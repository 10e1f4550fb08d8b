import type { Clock, Metrics } from '@plantaindrum/common';
import type { EntryRequest, RequestEnd } from '../requests/types.js';
import type { ClassTargets } from '../status/class-targets.js';

/** Measures one request against the target of its class, which is on the first byte or token. */
export interface RequestMetrics {
  /** A part of the response was sent to the caller; of a stream, this many events. */
  recordSent(events?: number): void;
  recordEnd(end: RequestEnd): void;
}

/** Destinations of the measurements. */
export interface RequestMetricsOptions {
  targets: Pick<ClassTargets, 'record'>;
  clock: Clock;
  metrics: Metrics;
}

/** Creates the metrics of one request. */
export const createRequestMetrics = (
  { arrivedAt, class: requestClass, organisation }: EntryRequest,
  { targets, clock, metrics }: RequestMetricsOptions,
): RequestMetrics => {
  const labels = { class: requestClass.name };
  let firstSentAt: number | undefined;
  let lastSentAt = arrivedAt;

  const isWithinTarget = (end: RequestEnd): boolean =>
    end.outcome === 'answered' &&
    (firstSentAt ?? Infinity) - arrivedAt <= requestClass.latestAnswerMs;

  return {
    recordSent: (events = 1) => {
      const now = clock.monotonic();
      const name = firstSentAt === undefined ? 'first_token_ms' : 'between_tokens_ms';
      metrics.record(name, now - lastSentAt, labels);
      if (events > 1) metrics.record('between_tokens_ms', 0, labels, events - 1);
      firstSentAt ??= now;
      lastSentAt = now;
    },
    recordEnd: (end) => {
      metrics.count('requests_ended', { ...labels, organisation, outcome: end.outcome });
      if (end.outcome === 'caller-gone') return;
      targets.record(requestClass.name, isWithinTarget(end));
      if (end.outcome === 'answered') {
        metrics.record('whole_answer_ms', clock.monotonic() - arrivedAt, labels);
      }
    },
  };
};
