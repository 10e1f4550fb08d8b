/** Figures of the experiment. */

import type { AnswerPlan } from '@plantaindrum/stand-ins';
import { bodyOf } from '@plantaindrum/stand-ins';
import { percentile, round } from '../../harness/statistics.js';
import type { ReceivedAnswer } from './callers.js';
import type { PlannedCall } from './cases.js';
import { mayRepeat } from './cases.js';

/** What became of one request. */
export interface PlayedCall extends PlannedCall {
  received: ReceivedAnswer;
  /** How often it has run. */
  runs: number;
  /** When the upstream wrote the last byte (Unix time, ms); undefined if it never did. */
  endedAt: number | undefined;
  /** Whether its upstream ended at the same moment as the complete answer, which nothing can tell apart. */
  isUndecidable: boolean;
}

/** Figures of one case, or of all. */
export interface EndingFigures {
  answers: number;
  broken: number;
  falselyComplete: number;
  falselyBroken: number;
  repeatedUnsafe: number;
  /** Share of the broken streams that may be resumed and reached their last event; 1 without any. */
  resumed: number;
  /** What the check adds to a complete answer without framing, against one with a length, in ms. */
  addedMs: { p50: number; p99: number };
}

const isWholePlan = ({ ending }: AnswerPlan): boolean =>
  ending === 'complete' || ending === 'half-close';

/** Whether an answer looks complete to its caller. */
export const looksComplete = ({ received }: PlayedCall): boolean =>
  received.isComplete && received.status === 200;

const isWholeAtCaller = (call: PlayedCall): boolean =>
  looksComplete(call) && call.received.body === bodyOf(call.plan);

const isFalselyComplete = (call: PlayedCall): boolean =>
  looksComplete(call) && !isWholeAtCaller(call);

const isFalselyBroken = (call: PlayedCall): boolean =>
  !call.isUndecidable && isWholePlan(call.plan) && !isWholeAtCaller(call);

const delaysOf = (calls: readonly PlayedCall[], framing: AnswerPlan['framing']): number[] =>
  calls
    .filter(({ plan }) => isWholePlan(plan) && plan.framing === framing)
    .flatMap(({ received, endedAt }) =>
      endedAt === undefined ? [] : [received.endedAt - endedAt],
    );

const addedMs = (calls: readonly PlayedCall[], fraction: number): number => {
  const added =
    percentile(delaysOf(calls, 'none'), fraction) - percentile(delaysOf(calls, 'length'), fraction);
  return round(Math.max(0, added));
};

const isNotResumed = (call: PlayedCall): boolean =>
  call.kind === 'resumable-stream' && !isWholePlan(call.plan) && !isWholeAtCaller(call);

/** Whether an answer counts against the product. */
export const isFault = (call: PlayedCall): boolean =>
  isFalselyComplete(call) || isNotResumed(call) || isFalselyBroken(call);

/** Computes the figures of some requests; the check is timed with the answers in `timed`. */
export const figuresOf = (
  calls: readonly PlayedCall[],
  timed: readonly PlayedCall[],
): EndingFigures => {
  const counted = calls.filter(({ isUndecidable }) => !isUndecidable);
  const broken = counted.filter(({ plan }) => !isWholePlan(plan));
  const resumable = broken.filter(({ kind }) => kind === 'resumable-stream');
  const resumed = resumable.filter(isWholeAtCaller).length;
  const unsafeRuns = counted.filter(({ kind }) => !mayRepeat(kind));
  return {
    answers: counted.length,
    broken: broken.length,
    falselyComplete: calls.filter(isFalselyComplete).length,
    falselyBroken: calls.filter(isFalselyBroken).length,
    repeatedUnsafe: unsafeRuns.reduce((sum, { runs }) => sum + Math.max(0, runs - 1), 0),
    resumed: resumable.length === 0 ? 1 : round(resumed / resumable.length, 3),
    addedMs: { p50: addedMs(timed, 0.5), p99: addedMs(timed, 0.99) },
  };
};
