/** Which start of each upstream is the latest known, and which entries are of an earlier time. */

import type { UpstreamRecord } from '../types.js';

/** How an entry relates to what is known of its instance. */
export type EntryStanding =
  /** Nothing is known of the instance. */
  | 'first'
  /** The instance has started again: nothing that is known of it holds any more. */
  | 'later-start'
  /** The start that is known says something newer, or the same again. */
  | 'current'
  /** A late word: of an earlier start, of an earlier time, or of a start that has left. */
  | 'outdated';

/** The latest known start of each instance. */
export interface KnownStarts {
  /** Takes an entry unless it is outdated. */
  take(record: UpstreamRecord): EntryStanding;
  /** The start that is known has left for good: no later word of it counts. */
  noteLeft(instance: string): void;
}

/** Instances that are remembered; the oldest are forgotten first. A bound on memory. */
const MOST_INSTANCES = 4_096;

interface KnownStart {
  startedAt: number;
  sequence: number;
  hasLeft: boolean;
}

/** Creates the memory; it outlives entries, as late words of an upstream come after its removal. */
export const createKnownStarts = (): KnownStarts => {
  const known = new Map<string, KnownStart>();

  const standing = ({ instance, startedAt, sequence }: UpstreamRecord): EntryStanding => {
    const last = known.get(instance);
    if (!last) return 'first';
    if (startedAt > last.startedAt) return 'later-start';
    const isOutdated = startedAt < last.startedAt || last.hasLeft || sequence < last.sequence;
    return isOutdated ? 'outdated' : 'current';
  };

  return {
    take: (record) => {
      const found = standing(record);
      if (found === 'outdated') return found;
      const { instance, startedAt, sequence } = record;
      known.delete(instance);
      known.set(instance, { startedAt, sequence, hasLeft: false });
      const [oldest] = known.keys();
      if (known.size > MOST_INSTANCES && oldest !== undefined) known.delete(oldest);
      return found;
    },
    noteLeft: (instance) => {
      const last = known.get(instance);
      if (last) last.hasLeft = true;
    },
  };
};
