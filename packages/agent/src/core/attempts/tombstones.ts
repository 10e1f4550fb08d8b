/**
 * Remembers, per entry instance, up to which counter attempts have been forgotten. An attempt that
 * ended is kept for a while and then dropped; without this mark its dispatch, delayed in a buffer,
 * would look new and run a second time. Below the mark nothing is started.
 */

import type { AttemptId } from '@plantaindrum/link';

const MOST_INSTANCES = 10_000;

/** The marks of all entry instances. */
export interface ForgottenMarks {
  /** The attempt's record is dropped. */
  forget(id: AttemptId): void;
  /** Whether the attempt may be one whose record was dropped. */
  mayBeForgotten(id: AttemptId): boolean;
}

/** The entry instance that made an attempt. */
export const instanceOf = (id: AttemptId): string => id.slice(0, id.lastIndexOf(':'));

const counterOf = (id: AttemptId): number => Number(id.slice(id.lastIndexOf(':') + 1));

/** Creates the marks; the instances forgotten longest ago go first when there are too many. */
export const createForgottenMarks = (): ForgottenMarks => {
  const marks = new Map<string, number>();

  return {
    forget: (id) => {
      const instance = instanceOf(id);
      const mark = Math.max(marks.get(instance) ?? -1, counterOf(id));
      marks.delete(instance);
      marks.set(instance, mark);
      const [oldest] = marks.keys();
      if (marks.size > MOST_INSTANCES && oldest !== undefined) marks.delete(oldest);
    },
    mayBeForgotten: (id) => counterOf(id) <= (marks.get(instanceOf(id)) ?? -1),
  };
};
