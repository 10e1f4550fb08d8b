/** Counts the outcomes of callers and summarises them. */

import type { CallerClass, CallerOutcome, LoadFigures } from './types.js';

interface CallerRecord {
  className: string;
  organisation: number;
  arrivedAt: number;
  refusals: number;
  waitMs: number;
  isFirstLate: boolean;
  outcome: CallerOutcome;
}

/** Records what becomes of one caller. */
export interface CallerRecorder {
  refused(): void;
  sent(waitMs: number): void;
  firstEventLate(): void;
  end(outcome: CallerOutcome): void;
}

/** Length of the windows whose worst one is reported, in ms. */
const WINDOW_MS = 2_000;

const sum = (values: readonly number[]): number => values.reduce((total, n) => total + n, 0);

/** Jain's index of fairness: 1 when all values are equal. */
const jainIndex = (values: readonly number[]): number =>
  sum(values) ** 2 / Math.max(Number.EPSILON, values.length * sum(values.map((n) => n * n)));

/** Creates empty figures. */
export const createFigures = (classes: readonly CallerClass[], organisations: number) => {
  const records: CallerRecord[] = [];
  const classOf = new Map(classes.map((entry) => [entry.name, entry]));

  const earned = ({ className, outcome }: CallerRecord): number => {
    const { value = 0, lateFraction = 0 } = classOf.get(className) ?? {};
    if (outcome === 'on-time') return value;
    return outcome === 'late' ? value * lateFraction : 0;
  };
  const worthOf = (part: readonly CallerRecord[]): number =>
    sum(part.map(earned)) /
    Math.max(Number.EPSILON, sum(part.map(({ className }) => classOf.get(className)?.value ?? 0)));
  const inTimeOf = (part: readonly CallerRecord[]): number =>
    part.filter(({ outcome }) => outcome === 'on-time').length / Math.max(1, part.length);

  const byWindow = (): CallerRecord[][] => {
    const windows: CallerRecord[][] = [];
    records.forEach((record) => {
      const at = Math.floor(record.arrivedAt / WINDOW_MS);
      (windows[at] ??= []).push(record);
    });
    return windows.filter((window) => window !== undefined);
  };
  const byClass = (figure: (part: readonly CallerRecord[]) => number): Record<string, number> =>
    Object.fromEntries(
      classes.map(({ name }) => [
        name,
        figure(records.filter(({ className }) => className === name)),
      ]),
    );

  return {
    start: (className: string, organisation: number, arrivedAt: number): CallerRecorder => {
      const record: CallerRecord = {
        ...{ className, organisation, arrivedAt, refusals: 0, waitMs: 0, isFirstLate: false },
        outcome: 'unserved',
      };
      records.push(record);
      return {
        refused: () => {
          record.refusals += 1;
        },
        sent: (waitMs) => {
          record.waitMs = waitMs;
        },
        firstEventLate: () => {
          record.isFirstLate = true;
        },
        end: (outcome) => {
          record.outcome = outcome;
        },
      };
    },
    summary: (meanPassMs: number): LoadFigures => ({
      callers: records.length,
      worth: worthOf(records),
      worthByClass: byClass(worthOf),
      worstWindow: Math.min(...byWindow().map(worthOf)),
      inTimeByClass: byClass(inTimeOf),
      jain: jainIndex(
        Array.from({ length: organisations }, (_, at) =>
          inTimeOf(records.filter(({ organisation }) => organisation === at)),
        ),
      ),
      refused: records.filter(({ refusals }) => refusals > 0).length,
      refusedAgain: records.filter(({ outcome }) => outcome === 'refused-again').length,
      lateFirst: records.filter(({ outcome, isFirstLate }) => outcome === 'late' && isFirstLate)
        .length,
      latePause: records.filter(({ outcome, isFirstLate }) => outcome === 'late' && !isFirstLate)
        .length,
      meanWaitMs: sum(records.map(({ waitMs }) => waitMs)) / Math.max(1, records.length),
      meanPassMs,
    }),
  };
};
