/** Compares the outcomes that callers received with the executions that the stand-ins counted. */
import { completionId } from '../engine/text.js';
import type { Arrival } from './plan.js';
import type { CallResult } from './send.js';
import { servicePath } from './send.js';

/** Number of executions of each call: services by path, engines by completion id. */
export interface Executions {
  byPath: Record<string, number>;
  byCompletion: Record<string, number>;
}

/** Keys of calls whose outcome contradicts the executions; all lists must be empty. */
export interface Violations {
  /** Executed although the outcome of every attempt was `not-run`. */
  ranThoughNotRun: string[];
  /** Calls of a class that must not be repeated, executed more than once. */
  ranTwice: string[];
  /** Answered although no upstream executed the call. */
  answeredWithoutRun: string[];
  /** Received a response that ended cleanly but is incomplete or belongs to another call. */
  wrongAnswers: string[];
}

const runsOf = (arrival: Arrival, executions: Executions): number =>
  arrival.stream.work.kind === 'service'
    ? (executions.byPath[servicePath(arrival)] ?? 0)
    : (executions.byCompletion[completionId(arrival.prompt)] ?? 0);

const keysWhere = (calls: CallResult[][], predicate: (call: CallResult[]) => boolean): string[] =>
  calls.filter(predicate).map((call) => call[0]?.arrival.key ?? '');

/** Finds all violations; `mayNotRepeat` returns true for classes whose calls run at most once. */
export const findViolations = (
  results: CallResult[],
  executions: Executions,
  mayNotRepeat: (className: string) => boolean,
): Violations => {
  const byKey = new Map<string, CallResult[]>();
  results.forEach((result) => {
    const { key } = result.arrival;
    byKey.set(key, [...(byKey.get(key) ?? []), result]);
  });
  const calls = [...byKey.values()];
  const runs = (call: CallResult[]): number => (call[0] ? runsOf(call[0].arrival, executions) : 0);
  const everyOutcomeIs = (call: CallResult[], outcome: string): boolean =>
    call.every((result) => result.outcome === outcome);
  const someOutcomeIs = (call: CallResult[], outcome: string): boolean =>
    call.some((result) => result.outcome === outcome);
  const runsAtMostOnce = (call: CallResult[]): boolean =>
    mayNotRepeat(call[0]?.arrival.stream.class ?? '');
  return {
    ranThoughNotRun: keysWhere(calls, (call) => everyOutcomeIs(call, 'not-run') && runs(call) > 0),
    ranTwice: keysWhere(calls, (call) => runsAtMostOnce(call) && runs(call) > 1),
    answeredWithoutRun: keysWhere(
      calls,
      (call) => someOutcomeIs(call, 'answered') && runs(call) === 0,
    ),
    wrongAnswers: keysWhere(calls, (call) => someOutcomeIs(call, 'wrong')),
  };
};
