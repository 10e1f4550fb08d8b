import type { Histogram, HistogramStats } from '../histogram.js';
import { createHistogram } from '../histogram.js';
import type { CallOutcome } from './answer-check.js';
import type { CallResult } from './send.js';

/** Counts and latencies (in microseconds) of a subset of a load's calls. */
export interface LoadStats {
  sent: number;
  outcomes: Record<CallOutcome, number>;
  /** Counts of outcomes other than `answered`, by `outcome:reason`. */
  reasons: Record<string, number>;
  /** Calls answered within the target of their stream. */
  inTime: number;
  /** Time to the first token of a stream, or to the full response of another call. */
  firstUs: HistogramStats;
  /** Time between two tokens of a stream. */
  betweenUs: HistogramStats;
  /** Time to the end of the response. */
  wholeUs: HistogramStats;
  /** Time to the end of a refusal whose outcome is `not-run`. */
  refusalUs: HistogramStats;
}

/** Results of a load so far. */
export interface LoadReport {
  total: LoadStats;
  byClass: Record<string, LoadStats>;
  byOrganisation: Record<string, LoadStats>;
  /** Number of refusals without a valid Retry-After; must be 0. */
  lackingRetryAfter: number;
  inFlight: number;
}

interface Tally {
  outcomes(): Record<CallOutcome, number>;
  add(result: CallResult): void;
  stats(): LoadStats;
}

const createTally = (): Tally => {
  const outcomes: Record<CallOutcome, number> = {
    answered: 0,
    'not-run': 0,
    unknown: 0,
    lost: 0,
    wrong: 0,
    error: 0,
  };
  const reasons: Record<string, number> = {};
  const first: Histogram = createHistogram();
  const between: Histogram = createHistogram();
  const whole: Histogram = createHistogram();
  const refusal: Histogram = createHistogram();
  let sent = 0;
  let inTime = 0;

  const addAnswer = (result: CallResult): void => {
    first.record(result.firstUs);
    whole.record(result.wholeUs);
    result.gapsUs.forEach(between.record);
    if (result.firstUs <= result.arrival.stream.targetMs * 1000) inTime += 1;
  };

  return {
    add: (result) => {
      sent += 1;
      outcomes[result.outcome] += 1;
      if (result.outcome === 'answered') {
        addAnswer(result);
        return;
      }
      const reason = `${result.outcome}:${result.reason}`;
      reasons[reason] = (reasons[reason] ?? 0) + 1;
      if (result.outcome === 'not-run') refusal.record(result.wholeUs);
    },
    outcomes: () => ({ ...outcomes }),
    stats: () => ({
      sent,
      outcomes: { ...outcomes },
      reasons: { ...reasons },
      inTime,
      firstUs: first.stats(),
      betweenUs: between.stats(),
      wholeUs: whole.stats(),
      refusalUs: refusal.stats(),
    }),
  };
};

/** Aggregates the results of calls. */
export interface ReportBuilder {
  add(result: CallResult): void;
  outcomes(): Record<CallOutcome, number>;
  report(inFlight: number): LoadReport;
}

/** Creates a builder without results. */
export const createReportBuilder = (): ReportBuilder => {
  const total = createTally();
  const byClass = new Map<string, Tally>();
  const byOrganisation = new Map<string, Tally>();
  let lackingRetryAfter = 0;

  const tallyOf = (map: Map<string, Tally>, name: string): Tally => {
    const tally = map.get(name) ?? createTally();
    map.set(name, tally);
    return tally;
  };
  const statsOf = (map: Map<string, Tally>): Record<string, LoadStats> =>
    Object.fromEntries([...map].map(([name, tally]) => [name, tally.stats()]));

  return {
    add: (result) => {
      const { stream } = result.arrival;
      total.add(result);
      tallyOf(byClass, stream.class).add(result);
      tallyOf(byOrganisation, stream.organisation).add(result);
      if (result.lacksRetryAfter) lackingRetryAfter += 1;
    },
    outcomes: total.outcomes,
    report: (inFlight) => ({
      total: total.stats(),
      byClass: statsOf(byClass),
      byOrganisation: statsOf(byOrganisation),
      lackingRetryAfter,
      inFlight,
    }),
  };
};
