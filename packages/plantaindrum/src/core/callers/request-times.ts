import type { Clock, Metrics } from '@plantaindrum/common';
import type { EntryRequest, RequestEnd } from '../requests/types.js';
import type { ClassTargets } from '../status/class-targets.js';

/** Measures one request; the target of its class is its first byte or token. */
export interface RequestTimes {
  /** A part of the answer went to the caller. */
  sent(): void;
  ended(end: RequestEnd): void;
}

/** Where the figures go. */
export interface RequestTimesOptions {
  targets: Pick<ClassTargets, 'note'>;
  clock: Clock;
  metrics: Metrics;
}

/** Creates the measure of one request. */
export const createRequestTimes = (
  { arrivedAt, class: requestClass, organisation }: EntryRequest,
  { targets, clock, metrics }: RequestTimesOptions,
): RequestTimes => {
  const labels = { class: requestClass.name };
  let first: number | undefined;
  let last = arrivedAt;

  const isWithinTarget = (end: RequestEnd): boolean =>
    end.outcome === 'answered' && (first ?? Infinity) - arrivedAt <= requestClass.latestAnswerMs;

  return {
    sent: () => {
      const now = clock.monotonic();
      const name = first === undefined ? 'first_token_ms' : 'between_tokens_ms';
      metrics.record(name, now - last, labels);
      first ??= now;
      last = now;
    },
    ended: (end) => {
      metrics.count('requests_ended', { ...labels, organisation, outcome: end.outcome });
      if (end.outcome === 'caller-gone') return;
      targets.note(requestClass.name, isWithinTarget(end));
      if (end.outcome === 'answered') {
        metrics.record('whole_answer_ms', clock.monotonic() - arrivedAt, labels);
      }
    },
  };
};
