/** Holds what callers were told against what the stand-ins saw. */
import { completionId } from '../engine/text.js';
import type { Arrival } from './plan.js';
import type { CallResult } from './send.js';
import { servicePath } from './send.js';

/** How often each call ran: services by path, engines by completion id. */
export interface Executions {
  byPath: Record<string, number>;
  byCompletion: Record<string, number>;
}

/** Calls whose answers don't agree with what happened; all lists must be empty. */
export interface Violations {
  /** Told "not run" each time it was sent, and ran. */
  ranThoughNotRun: string[];
  /** Service calls of a stream that may not repeat, and ran more than once. */
  ranTwice: string[];
  /** Answered, and no upstream ran it. */
  answeredWithoutRun: string[];
  /** A clean answer that is not the caller's own or not whole. */
  wrongAnswers: string[];
}

const runsOf = (arrival: Arrival, executions: Executions): number =>
  arrival.stream.work.kind === 'service'
    ? (executions.byPath[servicePath(arrival)] ?? 0)
    : (executions.byCompletion[completionId(arrival.prompt)] ?? 0);

const keysOf = (calls: CallResult[][], holds: (call: CallResult[]) => boolean): string[] =>
  calls.filter(holds).map((call) => call[0]?.arrival.key ?? '');

/** Finds every violation; `mayNotRepeat` tells the classes whose calls run at most once. */
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
  const all = (call: CallResult[], outcome: string): boolean =>
    call.every((result) => result.outcome === outcome);
  const some = (call: CallResult[], outcome: string): boolean =>
    call.some((result) => result.outcome === outcome);
  const once = (call: CallResult[]): boolean => mayNotRepeat(call[0]?.arrival.stream.class ?? '');
  return {
    ranThoughNotRun: keysOf(calls, (call) => all(call, 'not-run') && runs(call) > 0),
    ranTwice: keysOf(calls, (call) => once(call) && runs(call) > 1),
    answeredWithoutRun: keysOf(calls, (call) => some(call, 'answered') && runs(call) === 0),
    wrongAnswers: keysOf(calls, (call) => some(call, 'wrong')),
  };
};
